package main

import (
	"fmt"
	"strings"
	"time"
)

// team is a team of the settings.
type team struct {
	name                         string
	cpus, cpusMax, gpus, gpusMax float64
}

// site is a deployment: its settings and its machines.
type site struct {
	name                                string
	zones, nodeZones                    []string
	teams                               []team
	objectives                          string
	reportS, leaseS, gangWait, gangPeer float64
	cancelS                             float64
	stateRPS, stateWriteRPS, valueKB    float64
	txnOps                              int
	cloudRPS, listLag                   float64
	cpuShare, ramMB                     float64
	sockets                             int
	skewMS                              float64
	flavor                              flavor
	backAfter                           time.Duration // an end, the platform has a controller back
}

// galleries is hollinsend-galleries as the brief and the deploy page describe it.
func galleries() *site {
	s := &site{
		name:      "hollinsend-galleries",
		zones:     []string{"soar", "tame", "trent", "wreake"},
		nodeZones: []string{"soar", "trent", "tame"},
		reportS:   3, leaseS: 30, gangWait: 50, gangPeer: 5, cancelS: 60,
		stateRPS: 250, stateWriteRPS: 50, valueKB: 32, txnOps: 40,
		cloudRPS: 2, listLag: 8, backAfter: 4 * time.Second, cpuShare: 0.3, ramMB: 234, sockets: 2500, skewMS: 100,
		flavor: flavor{SKU: "darkroom16", Cores: 16, Accelerators: 2, RAM: 96, LocalGB: 150, FetchRate: 1,
			Price: 6.41, MarketPrice: 1.86, StartupS: 45, Yards: []string{"soar", "tame", "trent", "wreake"}},
		objectives: `
[[settings.objectives]]
kind = "wait"
class = "proofrush"
within_s = 60.0
share = 0.88

[[settings.objectives]]
kind = "finished"
class = "proofrush"
within_s = 300.0
share = 0.88

[[settings.objectives]]
kind = "deadline"
class = "skinpass"
share = 0.9
times = 1.0

[[settings.objectives]]
kind = "wait"
class = "albumforge"
within_s = 60.0
share = 0.94

[[settings.objectives]]
kind = "guarantee"
within_s = 40.0
share = 0.88
`,
	}
	for i := range 8 {
		s.teams = append(s.teams, team{name: fmt.Sprintf("proofdesk-%02d", i), gpus: 8, gpusMax: 12})
	}
	return s
}

// claims is hanbit-claims as the brief describes it.
func claims() *site {
	return &site{
		name:      "hanbit-claims",
		zones:     []string{"mapo", "suyeong", "yuseong"},
		nodeZones: []string{"mapo", "suyeong", "mapo"},
		teams:     []team{{name: "haneul"}, {name: "saebyeok"}},
		reportS:   3, leaseS: 36, gangWait: 35, gangPeer: 8, cancelS: 61,
		stateRPS: 120, stateWriteRPS: 25, valueKB: 4, txnOps: 12,
		cloudRPS: 2, listLag: 4, backAfter: 8 * time.Second, cpuShare: 0.12, ramMB: 125, sockets: 1200, skewMS: 250,
		flavor: flavor{SKU: "gyeol48", Cores: 48, Accelerators: 4, RAM: 288, LocalGB: 150, FetchRate: 1,
			Price: 13.58, MarketPrice: 3.56, StartupS: 60, Yards: []string{"mapo", "suyeong", "yuseong"}},
		objectives: `
[[settings.objectives]]
kind = "wait"
class = "fraudgang"
within_s = 40.0
share = 0.92

[[settings.objectives]]
kind = "finished"
class = "fraudgang"
within_s = 400.0
share = 0.92

[[settings.objectives]]
kind = "finished"
class = "receiptread"
within_s = 250.0
share = 0.9
`,
	}
}

// settings returns the settings file of a member.
func (s *site) settings(f *fleet, index int) string {
	var b strings.Builder
	m := f.members[index]
	fmt.Fprintf(&b, "member = %q\nzone = %q\nbind = %q\nmesh_addr = %q\n", m.name, m.zone, m.bind, m.mesh)
	for j, peer := range f.members {
		if j != index {
			fmt.Fprintf(&b, "\n[[seeds]]\nmember = %q\nzone = %q\naddress = %q\n", peer.name, peer.zone, f.links[index][j].addr)
		}
	}
	fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n", f.cloudAddr, m.stateAddr)
	fmt.Fprintf(&b, "\n[settings]\ncount = %d\nzones = [\"%s\"]\nskew_ms = %.1f\n", len(f.members),
		strings.Join(s.zones, "\", \""), s.skewMS)
	for _, t := range s.teams {
		fmt.Fprintf(&b, "\n[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n",
			t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
	}
	b.WriteString(s.objectives)
	fmt.Fprintf(&b, "\n[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\n"+
		"cancel_s = %.1f\n", s.reportS, s.leaseS, s.gangWait, s.gangPeer, s.cancelS)
	fmt.Fprintf(&b, "\n[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		s.stateRPS, s.stateWriteRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLag)
	fmt.Fprintf(&b, "\n[settings.quota]\ncpu_share = %.2f\nram_mb = %.1f\nsockets = %d\n", s.cpuShare, s.ramMB, s.sockets)
	return b.String()
}
