// Package settings parses and validates the platform's settings file (TOML) and the operators' settings
// file (protobuf text format, operators.proto; docs/OPERATIONS.md lists its fields). Load returns both as
// Settings, which are immutable afterwards.
//
// All errors in the values of a file are reported at once, one line per field; each line names the field
// and the reason, and Load adds the file name.
package settings

import (
	"fmt"
	"os"
	"time"

	"maddermill/wire"
)

// Peer is another controller of the cluster.
type Peer struct {
	Member wire.MemberID `toml:"member"`
	Zone   wire.Zone     `toml:"zone"`
	Addr   string        `toml:"address"`
}

// Team holds a team's guaranteed resources (CPUs, GPUs) and limits (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    wire.Team `toml:"name"`
	CPUs    float64   `toml:"cpus"`
	CPUsMax float64   `toml:"cpus_max"`
	GPUs    float64   `toml:"gpus"`
	GPUsMax float64   `toml:"gpus_max"`
}

// Capped reports whether the team has a limit.
func (t *Team) Capped() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Objective is a service-level objective: at least Share of the jobs of Class, or of all jobs if Class is
// empty, start (kinds "wait" and "guarantee") or finish (kind "finished") within a time.
type Objective struct {
	Kind   string       `toml:"kind"`
	Class  wire.Class   `toml:"class"`
	Within wire.Seconds `toml:"within_s"`
	Share  float64      `toml:"share"`
}

// NextStateLimits holds future limits of the state service. A limit that is nil stays unchanged.
type NextStateLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Settings holds all settings of a controller. The types of its nested structs stay unnamed and their
// fields in order, because the TOML decoder's error messages print them.
type Settings struct {
	Member   wire.MemberID `toml:"member"`
	Zone     wire.Zone     `toml:"zone"`
	Bind     string        `toml:"bind"`
	MeshAddr string        `toml:"mesh_addr"`
	Peers    []Peer        `toml:"seeds"`
	Outside  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Count      int         `toml:"count"`
		Zones      []wire.Zone `toml:"zones"`
		SkewMillis float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			Report   wire.Seconds `toml:"report_s"`
			Lease    wire.Seconds `toml:"lease_s"`
			GangWait wire.Seconds `toml:"gang_wait_s"`
			GangPeer wire.Seconds `toml:"gang_peer_s"`
			Cancel   wire.Seconds `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			// Next holds limits that the state service will switch to at an unannounced time;
			// nil: the limits stay the same.
			Next *NextStateLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS     float64      `toml:"rps"`
			ListLag wire.Seconds `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CPUShare float64 `toml:"cpu_share"`
			MemoryMB float64 `toml:"ram_mb"`
			Sockets  int     `toml:"sockets"`
		} `toml:"quota"`
	} `toml:"settings"`

	Operators Operators `toml:"-"`
}

// Load reads the platform's file and, unless its path is empty, the operators' file.
func Load(path, operatorsPath string) (*Settings, error) {
	platform, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(platform)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var text []byte
	if operatorsPath != "" {
		if text, err = os.ReadFile(operatorsPath); err != nil {
			return nil, err
		}
	}
	if s.Operators, err = parseOperators(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", operatorsPath, err)
	}
	return s, nil
}

// Parse parses and validates the platform's file, and sets the operators' settings to their defaults.
// Unknown fields are ignored, because the platform may add fields; so are those that differ from a known one in
// case alone.
func Parse(platform []byte) (*Settings, error) {
	s := new(Settings)
	if err := s.decode(platform); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	var err error
	s.Operators, err = parseOperators(nil, s)
	return s, err
}

// FindTeam returns the team with a name, or nil if there is none.
func (s *Settings) FindTeam(name wire.Team) *Team {
	for i := range s.Cluster.Teams {
		if s.Cluster.Teams[i].Name == name {
			return &s.Cluster.Teams[i]
		}
	}
	return nil
}

// StateLimits holds the request and size limits of the state service.
type StateLimits struct {
	RPS        float64 // requests per second
	WriteRPS   float64 // writes per second
	ValueBytes int     // maximum size of a value
	TxnOps     int     // maximum number of changes in a transaction
}

// CurrentStateLimits returns the state service's limits without the future ones. Controllers of versions that
// do not support NextStateLimits write records up to these sizes.
func (s *Settings) CurrentStateLimits() StateLimits {
	state := &s.Cluster.State
	return StateLimits{state.RPS, state.WriteRPS, int(state.ValueKB * bytesPerKiB), state.TxnOps}
}

// StateLimits returns the limits that all writes must respect: for each, the smaller of the current and the
// future limit.
func (s *Settings) StateLimits() StateLimits {
	limits, next := s.CurrentStateLimits(), s.Cluster.State.Next
	if next == nil {
		return limits
	}
	limits.RPS = minLimit(limits.RPS, next.RPS)
	limits.WriteRPS = minLimit(limits.WriteRPS, next.WriteRPS)
	limits.ValueBytes = int(minLimit(s.Cluster.State.ValueKB, next.ValueKB) * bytesPerKiB)
	limits.TxnOps = minLimit(limits.TxnOps, next.TxnOps)
	return limits
}

// minLimit returns the smaller of a current limit and the next one, which is nil if it does not change.
func minLimit[T float64 | int](limit T, next *T) T {
	if next == nil {
		return limit
	}
	return min(limit, *next)
}

// bytesPerKiB converts sizes in the settings, such as value_kb, to bytes.
const bytesPerKiB = 1024

// MaxSyncAge is the maximum time since the last sync with the state service at which a controller may
// start a task or do anything else that relies on current records.
const MaxSyncAge = 4 * time.Second

// defaultMemoryQuota is the memory quota, in bytes, if the settings have none.
const defaultMemoryQuota = 128 << 20

// MemoryBytes returns the memory quota of the process, in bytes.
func (s *Settings) MemoryBytes() int {
	if s.Cluster.Quota.MemoryMB > 0 {
		return int(s.Cluster.Quota.MemoryMB * (1 << 20))
	}
	return defaultMemoryQuota
}

// HeartbeatTimeout returns the longest time between two heartbeats of a healthy machine. A machine without a
// heartbeat for longer counts as silent.
func (s *Settings) HeartbeatTimeout() time.Duration {
	return 2*s.Cluster.Workers.Report.Duration() + 2*time.Second
}

// HeartbeatGrace returns how long a controller that has lost sync with the state service keeps answering
// heartbeats. A cancellation that it has not seen must still end every task in time
// (settings.workers.cancel_s), and a task may run for a whole lease after the last answer.
func (s *Settings) HeartbeatGrace() time.Duration {
	w := s.Cluster.Workers
	margin := wire.Seconds(4 + 0.002*float64(w.Cancel))
	return max(0, (w.Cancel - w.Lease - margin).Duration())
}
