// Package settings reads and checks the platform's settings file (TOML) and the
// operators' own settings file (protobuf text format, operators.proto; docs/OPERATIONS.md lists its
// fields). Load returns both as Settings, which are not changed afterwards.
//
// All that is wrong with a file is reported at once, a line per field; each line names the field and
// the reason, and Load adds the file's name.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"maddermill/wire"
)

// Peer is another controller.
type Peer struct {
	Member wire.MemberID `toml:"member"`
	Zone   wire.Zone     `toml:"zone"`
	Addr   string        `toml:"address"`
}

// Team is a team's guarantee (CPUs, GPUs) and limit (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    wire.Team `toml:"name"`
	CPUs    float64   `toml:"cpus"`
	CPUsMax float64   `toml:"cpus_max"`
	GPUs    float64   `toml:"gpus"`
	GPUsMax float64   `toml:"gpus_max"`
}

// Capped reports whether the team has a limit.
func (t *Team) Capped() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Objective is one of the users' service-level objectives: a share of the jobs of a class, or of all if
// it is empty, starts (kinds "wait" and "guarantee") or is done ("finished") within a time.
type Objective struct {
	Kind   string       `toml:"kind"`
	Class  wire.Class   `toml:"class"`
	Within wire.Seconds `toml:"within_s"`
	Share  float64      `toml:"share"`
}

// NextStateLimits are limits that the state service will have. Those that are left out stay as they are.
type NextStateLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Settings are all settings of a controller. The types of its fields have no names, and their order
// stays: errors of the TOML decoder print them.
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
			// Next are the limits that the state service will have from some moment on, of which
			// nobody tells; nil: the same.
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
func Load(path, operators string) (*Settings, error) {
	platform, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(platform)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var text []byte
	if operators != "" {
		if text, err = os.ReadFile(operators); err != nil {
			return nil, err
		}
	}
	if s.Operators, err = parseOperators(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", operators, err)
	}
	return s, nil
}

// Parse reads and checks the platform's file, with the operators' defaults. Unknown fields are ignored:
// the platform may add some.
func Parse(platform []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(platform, s); err != nil {
		var invalid *toml.DecodeError
		if errors.As(err, &invalid) {
			row, _ := invalid.Position()
			return nil, fmt.Errorf("line %d: field %s: %w", row, fieldAt(platform, row), invalid)
		}
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	var err error
	s.Operators, err = parseOperators(nil, s)
	return s, err
}

// fieldAt returns the name of the field that a line sets. The decoder's errors do not have it for values of a
// wrong type.
func fieldAt(file []byte, row int) string {
	lines := strings.Split(string(file), "\n")
	if row < 1 || row > len(lines) {
		return ""
	}
	name, _, _ := strings.Cut(lines[row-1], "=")
	return strings.TrimSpace(name)
}

// FindTeam returns a team by its name, or nil.
func (s *Settings) FindTeam(name wire.Team) *Team {
	for i := range s.Cluster.Teams {
		if s.Cluster.Teams[i].Name == name {
			return &s.Cluster.Teams[i]
		}
	}
	return nil
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS        float64 // requests a second
	WriteRPS   float64 // changes a second
	ValueBytes int     // of a value
	TxnOps     int     // changes in a transaction
}

// CurrentStateLimits returns the limits that the state service has had so far. Versions that do not know of
// others write records up to these.
func (s *Settings) CurrentStateLimits() StateLimits {
	state := &s.Cluster.State
	return StateLimits{state.RPS, state.WriteRPS, int(state.ValueKB * bytesPerKiB), state.TxnOps}
}

// StateLimits returns the limits that all that is written keeps to: the smaller ones of those that the state
// service has and of those that it will have.
func (s *Settings) StateLimits() StateLimits {
	limits, next := s.CurrentStateLimits(), s.Cluster.State.Next
	if next == nil {
		return limits
	}
	limits.RPS = atMost(limits.RPS, next.RPS)
	limits.WriteRPS = atMost(limits.WriteRPS, next.WriteRPS)
	limits.ValueBytes = int(atMost(s.Cluster.State.ValueKB, next.ValueKB) * bytesPerKiB)
	limits.TxnOps = atMost(limits.TxnOps, next.TxnOps)
	return limits
}

// atMost returns the smaller of a limit and of the next one, nil for none.
func atMost[T float64 | int](limit T, next *T) T {
	if next == nil {
		return limit
	}
	return min(limit, *next)
}

// bytesPerKiB converts the sizes of the settings.
const bytesPerKiB = 1024

// StartContact bounds the time since the last sync with the state service at which a task may be
// started, or anything else done that relies on current records.
const StartContact = 4 * time.Second

// assumedMemory is the memory quota, in bytes, where none is stated.
const assumedMemory = 128 << 20

// MemoryBytes returns the process's memory quota, in bytes.
func (s *Settings) MemoryBytes() int {
	if s.Cluster.Quota.MemoryMB > 0 {
		return int(s.Cluster.Quota.MemoryMB * (1 << 20))
	}
	return assumedMemory
}

// SilentAfter returns how long a working machine may leave between two heartbeats.
func (s *Settings) SilentAfter() time.Duration {
	return 2*s.Cluster.Workers.Report.Duration() + 2*time.Second
}

// HeartbeatGrace bounds how long a controller that is out of sync with the state service goes on
// answering heartbeats. A cancellation that it does not know of must still end every task in time
// (settings.workers.cancel_s), and after the last answer a task may run for a whole lease.
func (s *Settings) HeartbeatGrace() time.Duration {
	w := s.Cluster.Workers
	margin := wire.Seconds(4 + 0.002*float64(w.Cancel))
	return max(0, (w.Cancel - w.Lease - margin).Duration())
}
