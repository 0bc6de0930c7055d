package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"maddermill/wire"
)

// fieldErrors collects what is wrong with the fields of a file, in the order of the checks.
type fieldErrors struct{ errs []error }

// add adds that a field is wrong for a reason.
func (f *fieldErrors) add(field, reason string) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", field, reason))
}

// require adds that a field is wrong unless ok.
func (f *fieldErrors) require(ok bool, field, reason string) {
	if !ok {
		f.add(field, reason)
	}
}

// positive requires a number to be above 0 and finite.
func (f *fieldErrors) positive(field string, v float64) {
	f.require(v > 0 && !math.IsInf(v, 0), field, "must be above 0")
}

// address requires an IP address with a port.
func (f *fieldErrors) address(field, v string) {
	_, err := netip.ParseAddrPort(v)
	f.require(err == nil, field, fmt.Sprintf("%q is not an address and port", v))
}

// join returns all errors as one, with a line for each, or nil.
func (f *fieldErrors) join() error { return errors.Join(f.errs...) }

// check checks the platform's settings.
func (s *Settings) check() error {
	var errs fieldErrors
	errs.require(s.Member != "", "member", "is missing")
	errs.address("bind", s.Bind)
	errs.address("mesh_addr", s.MeshAddr)
	errs.address("outside.cloud", s.Outside.Cloud)
	errs.address("outside.state", s.Outside.State)
	s.checkPeers(&errs)
	errs.require(s.Cluster.Count >= 1, "settings.count", "must be at least 1")
	errs.require(len(s.Cluster.Zones) > 0, "settings.zones", "is missing")
	s.checkTeams(&errs)
	s.checkBounds(&errs)
	return errs.join()
}

// checkPeers checks that the other controllers have addresses and names of their own.
func (s *Settings) checkPeers(errs *fieldErrors) {
	names := map[wire.MemberID]bool{s.Member: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		errs.address(field+".address", p.Addr)
		errs.require(p.Member != "" && !names[p.Member], field+".member", "is missing or named twice")
		names[p.Member] = true
	}
}

// checkTeams checks the teams' names, guarantees and limits.
func (s *Settings) checkTeams(errs *fieldErrors) {
	names := map[wire.Team]bool{}
	for i, t := range s.Cluster.Teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		errs.require(t.Name != "" && !names[t.Name], field+".name", "is missing or named twice")
		names[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			errs.require(v >= 0 && !math.IsInf(v, 0), field, "has an amount below 0")
		}
		over := t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax
		errs.require(!over, field, "guarantees more than its limit")
	}
}

// checkSizes checks the size of a value and of a transaction of the state service.
func checkSizes(errs *fieldErrors, table string, valueKB float64, txnOps int) {
	// A NaN passes the checks that are negated.
	errs.require(!(valueKB < 2), table+".value_kb", "must be at least 2: a job's record needs that much")
	errs.require(txnOps >= 2, table+".txn_ops", "must be at least 2: a start changes a job and its team")
}

// checkNextLimits checks the limits that the state service will have. What is left out stays as it is.
func (s *Settings) checkNextLimits(errs *fieldErrors) {
	const table = "settings.state.next"
	state := &s.Cluster.State
	next := state.Next
	if next == nil {
		return
	}
	if next.RPS != nil {
		errs.positive(table+".rps", *next.RPS)
	}
	if next.WriteRPS != nil {
		errs.positive(table+".write_rps", *next.WriteRPS)
	}
	valueKB, txnOps := state.ValueKB, state.TxnOps
	if next.ValueKB != nil {
		valueKB = *next.ValueKB
	}
	if next.TxnOps != nil {
		txnOps = *next.TxnOps
	}
	checkSizes(errs, table, valueKB, txnOps)
}

// checkBounds checks the times, rates, sizes and quotas.
func (s *Settings) checkBounds(errs *fieldErrors) {
	c := &s.Cluster
	errs.require(!(c.SkewMillis < 0), "settings.skew_ms", "must not be below 0")
	errs.positive("settings.workers.report_s", float64(c.Workers.Report))
	errs.positive("settings.workers.lease_s", float64(c.Workers.Lease))
	errs.positive("settings.workers.gang_wait_s", float64(c.Workers.GangWait))
	errs.positive("settings.workers.gang_peer_s", float64(c.Workers.GangPeer))
	errs.positive("settings.workers.cancel_s", float64(c.Workers.Cancel))
	errs.positive("settings.state.rps", c.State.RPS)
	errs.positive("settings.state.write_rps", c.State.WriteRPS)
	errs.positive("settings.cloud.rps", c.Cloud.RPS)
	checkSizes(errs, "settings.state", c.State.ValueKB, c.State.TxnOps)
	s.checkNextLimits(errs)
	errs.require(!(c.Quota.CPUShare < 0 || c.Quota.MemoryMB < 0 || c.Quota.Sockets < 0),
		"settings.quota", "must not be below 0")
}
