// Package settings reads and checks the platform's settings file (TOML) and the
// operators' own (protobuf text format). Errors name file, field and reason.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/settings/operatorspb"
	"maddermill/wire"
)

// Peer is another controller.
type Peer struct {
	Member wire.MemberID `toml:"member"`
	Zone   wire.Zone     `toml:"zone"`
	Addr   string        `toml:"address"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    wire.Team `toml:"name"`
	CPUs    float64   `toml:"cpus"`
	CPUsMax float64   `toml:"cpus_max"`
	GPUs    float64   `toml:"gpus"`
	GPUsMax float64   `toml:"gpus_max"`
}

// Capped reports whether the team has a limit.
func (t *Team) Capped() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Objective is one aim of the users.
type Objective struct {
	Kind   string       `toml:"kind"`
	Class  wire.Class   `toml:"class"`
	Within wire.Seconds `toml:"within_s"`
	Share  float64      `toml:"share"`
}

// Settings is everything a controller is told at its start.
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

// Operators is the operators' part, defaults filled in.
type Operators struct {
	ColdStarts    int // 0: one a machine
	FetchMark     time.Duration
	WithholdAfter time.Duration
	Preempt       bool
	WaitBound     time.Duration // how long a job may wait to begin; 0: no bound
	LostAfter     time.Duration
	IdleBoots     float64
	MostMachines  int
	Spot          bool
	Headroom      float64
	RetryAfter    time.Duration
	Archive       bool          // what is over moves out of the records
	KeptJobs      int           // that are over and stay
	Settle        time.Duration // see operators.proto
	FormatUpTo    int           // 0: the newest
	Plugins       Plugins
	Quarantine    Quarantine
}

// Quarantine are the settings of judging machines.
type Quarantine struct {
	On            bool
	Faulty, Wrong float64 // shares, see operators.proto
	Most          float64
}

// Plugins are the settings of policies in modules.
type Plugins struct {
	On       bool
	Keys     []ed25519.PublicKey
	MemoryMB int
	Call     time.Duration
	Starve   time.Duration

	Initial   string // a module's file, to be used where no policy was ever chosen; "": none
	Signature []byte // of that module
}

// MaxQuarantined is how many of so many machines of a kind may be judged by evidence.
func (q Quarantine) MaxQuarantined(all int) int { return max(1, int(q.Most*float64(all))) }

// Load reads the platform's file and, unless its path is empty, the operators'.
func Load(path, operators string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
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

// Parse reads and checks the platform's file. Fields it doesn't know are
// ignored: the platform may add some.
func Parse(b []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(b, s); err != nil {
		var d *toml.DecodeError
		if errors.As(err, &d) {
			row, _ := d.Position()
			return nil, fmt.Errorf("line %d: field %v: %v", row, d.Key(), d)
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

func (s *Settings) check() error {
	address := func(field, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return fmt.Errorf("%s: %q is not an address and port", field, v)
		}
		return nil
	}
	var errs []error
	fail := func(field, reason string) { errs = append(errs, fmt.Errorf("%s: %s", field, reason)) }
	positive := func(field string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			fail(field, "must be above 0")
		}
	}
	if s.Member == "" {
		fail("member", "is missing")
	}
	errs = append(errs, address("bind", s.Bind), address("mesh_addr", s.MeshAddr),
		address("outside.cloud", s.Outside.Cloud), address("outside.state", s.Outside.State))
	names := map[wire.MemberID]bool{s.Member: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		errs = append(errs, address(field+".address", p.Addr))
		if p.Member == "" || names[p.Member] {
			fail(field+".member", "is missing or named twice")
		}
		names[p.Member] = true
	}
	c := &s.Cluster
	if c.Count < 1 {
		fail("settings.count", "must be at least 1")
	}
	if len(c.Zones) == 0 {
		fail("settings.zones", "is missing")
	}
	teams := map[wire.Team]bool{}
	for i, t := range c.Teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		if t.Name == "" || teams[t.Name] {
			fail(field+".name", "is missing or named twice")
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				fail(field, "has an amount below 0")
			}
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			fail(field, "guarantees more than its limit")
		}
	}
	if c.SkewMillis < 0 {
		fail("settings.skew_ms", "must not be below 0")
	}
	positive("settings.workers.report_s", float64(c.Workers.Report))
	positive("settings.workers.lease_s", float64(c.Workers.Lease))
	positive("settings.workers.gang_wait_s", float64(c.Workers.GangWait))
	positive("settings.workers.gang_peer_s", float64(c.Workers.GangPeer))
	positive("settings.workers.cancel_s", float64(c.Workers.Cancel))
	positive("settings.state.rps", c.State.RPS)
	positive("settings.state.write_rps", c.State.WriteRPS)
	positive("settings.cloud.rps", c.Cloud.RPS)
	if c.State.ValueKB < 2 {
		fail("settings.state.value_kb", "must be at least 2: a job's record needs that much")
	}
	if c.State.TxnOps < 2 {
		fail("settings.state.txn_ops", "must be at least 2: a start changes a job and its team")
	}
	if c.Quota.CPUShare < 0 || c.Quota.MemoryMB < 0 || c.Quota.Sockets < 0 {
		fail("settings.quota", "must not be below 0")
	}
	return errors.Join(errs...)
}

func parseOperators(text []byte, s *Settings) (Operators, error) {
	var m operatorspb.Operators
	if err := prototext.Unmarshal(text, &m); err != nil {
		return Operators{}, err
	}
	report := float64(s.Cluster.Workers.Report)
	p, f := m.GetPlacement(), m.GetFleet()
	if p == nil {
		p = new(operatorspb.Placement)
	}
	if f == nil {
		f = new(operatorspb.Fleet)
	}
	u := m.GetUsers()
	if u == nil {
		u = new(operatorspb.Users)
	}
	h := m.GetHistory()
	if h == nil {
		h = new(operatorspb.History)
	}
	o := Operators{
		ColdStarts:    int(or(p.ColdStarts, 0)),
		FetchMark:     wire.Seconds(or(p.FetchMarkS, 60)).Duration(),
		WithholdAfter: wire.Seconds(or(p.WithholdAfterS, 5)).Duration(),
		Preempt:       or(p.Preempt, true),
		WaitBound:     wire.Seconds(or(p.WaitBoundS, 240)).Duration(),
		LostAfter:     wire.Seconds(or(f.LostAfterS, 5*report)).Duration(),
		IdleBoots:     or(f.IdleBoots, 0.5),
		MostMachines:  int(or(f.MostMachines, 0)),
		Spot:          or(f.Spot, true),
		Headroom:      or(f.Headroom, 0),
		RetryAfter:    wire.Seconds(or(u.RetryAfterS, 1)).Duration(),
		Archive:       or(h.Archive, true),
		KeptJobs:      int(or(h.KeptJobs, 1000)),
		FormatUpTo:    int(or(h.FormatUpTo, 0)),
		Settle:        wire.Seconds(or(h.SettleS, 3600)).Duration(),
	}
	if o.ColdStarts == 0 {
		o.ColdStarts = math.MaxInt
	}
	var errs []error
	if o.FetchMark <= 0 {
		errs = append(errs, errors.New("placement.fetch_mark_s: must be above 0"))
	}
	if o.WithholdAfter < 0 {
		errs = append(errs, errors.New("placement.withhold_after_s: must not be below 0"))
	}
	if o.WaitBound < 0 {
		errs = append(errs, errors.New("placement.wait_bound_s: must not be below 0"))
	}
	if min := wire.Seconds(3 * report).Duration(); o.LostAfter < min {
		errs = append(errs, fmt.Errorf("fleet.lost_after_s: must be at least three reports (%v)", min))
	}
	if !(o.IdleBoots >= 0) {
		errs = append(errs, errors.New("fleet.idle_boots: must not be below 0"))
	}
	if !(o.Headroom >= 0 && o.Headroom <= 10) {
		errs = append(errs, errors.New("fleet.headroom: must be from 0 to 10"))
	}
	plug := m.GetPlugins()
	if plug == nil {
		plug = new(operatorspb.Plugins)
	}
	o.Plugins = Plugins{
		On:       or(plug.On, false),
		MemoryMB: int(or(plug.MemoryMb, 64)),
		Call:     time.Duration(or(plug.CallMs, 200)) * time.Millisecond,
		Starve:   wire.Seconds(or(plug.StarveS, 600)).Duration(),
		Initial:  plug.GetInitialModule(),
	}
	if o.Plugins.Initial != "" && !o.Plugins.On {
		errs = append(errs, errors.New("plugins.initial_module: plug-ins are off"))
	}
	if text := plug.GetInitialSignature(); text != "" {
		b, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(b) != ed25519.SignatureSize || o.Plugins.Initial == "" {
			errs = append(
				errs,
				errors.New("plugins.initial_signature: is not an Ed25519 signature in base64 of an initial module"),
			)
		}
		o.Plugins.Signature = b
	} else if o.Plugins.Initial != "" && len(plug.PublicKeys) > 0 {
		errs = append(errs, errors.New("plugins.initial_signature: is missing, and plugins.public_keys ask for one"))
	}
	for i, text := range plug.PublicKeys {
		b, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(b) != ed25519.PublicKeySize {
			errs = append(errs, fmt.Errorf("plugins.public_keys[%d]: is not an Ed25519 key in base64", i))
			continue
		}
		o.Plugins.Keys = append(o.Plugins.Keys, b)
	}
	if o.Plugins.MemoryMB < 8 || o.Plugins.MemoryMB > 1024 {
		errs = append(errs, errors.New("plugins.memory_mb: must be from 8 to 1024"))
	}
	if o.Plugins.Call < time.Millisecond || o.Plugins.Call > 10*time.Second {
		errs = append(errs, errors.New("plugins.call_ms: must be from 1 to 10000"))
	}
	if o.Plugins.Starve < time.Minute {
		errs = append(errs, errors.New("plugins.starve_s: must be at least 60"))
	}
	q := m.GetQuarantine()
	if q == nil {
		q = new(operatorspb.Quarantine)
	}
	o.Quarantine = Quarantine{
		On:     or(q.On, false),
		Faulty: or(q.FaultyShare, 0.01),
		Wrong:  or(q.WrongShare, 0.004),
		Most:   or(q.MostShare, 0.1),
	}
	for name, share := range map[string]float64{"faulty_share": o.Quarantine.Faulty, "wrong_share": o.Quarantine.Wrong} {
		if !(share > 0 && share <= 0.5) {
			errs = append(errs, fmt.Errorf("quarantine.%s: must be above 0 and at most 0.5", name))
		}
	}
	if !(o.Quarantine.Most >= 0 && o.Quarantine.Most <= 1) {
		errs = append(errs, errors.New("quarantine.most_share: must be from 0 to 1"))
	}
	if o.KeptJobs > 100_000 {
		errs = append(errs, errors.New("history.kept_jobs: must be from 0 to 100000"))
	}
	if o.Settle < 0 {
		errs = append(errs, errors.New("history.settle_s: must not be below 0"))
	}
	if o.RetryAfter < time.Second || o.RetryAfter > 30*time.Second {
		errs = append(errs, errors.New("users.retry_after_s: must be from 1 to 30"))
	}
	return o, errors.Join(errs...)
}

func or[T any](v *T, otherwise T) T {
	if v != nil {
		return *v
	}
	return otherwise
}

// FindTeam returns a team by its name.
func (s *Settings) FindTeam(name wire.Team) *Team {
	for i := range s.Cluster.Teams {
		if s.Cluster.Teams[i].Name == name {
			return &s.Cluster.Teams[i]
		}
	}
	return nil
}

// ValueBytes is the size limit of a durable value.
func (s *Settings) ValueBytes() int { return int(s.Cluster.State.ValueKB * 1024) }

// StartContact bounds how long ago the last contact with the state service may be when a start
// is sent, or anything else that counts on being in touch is done.
const StartContact = 4 * time.Second

// MemoryBytes is what the process may hold, or what is assumed where no quota is stated.
func (s *Settings) MemoryBytes() int {
	if s.Cluster.Quota.MemoryMB > 0 {
		return int(s.Cluster.Quota.MemoryMB * (1 << 20))
	}
	return assumedMemory
}

// assumedMemory is taken for the quota where none is stated, in bytes.
const assumedMemory = 128 << 20

// SilentAfter is how long a machine that works may leave between two reports.
func (s *Settings) SilentAfter() time.Duration {
	return 2*s.Cluster.Workers.Report.Duration() + 2*time.Second
}

// HeartbeatGrace bounds how long a controller out of touch with the state service
// goes on answering reports: a cancellation it can't know of must still end
// every task in time, and that takes a whole lease after the last answer.
func (s *Settings) HeartbeatGrace() time.Duration {
	w := s.Cluster.Workers
	margin := wire.Seconds(4 + 0.002*float64(w.Cancel))
	return max(0, (w.Cancel - w.Lease - margin).Duration())
}
