package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/settings/operatorspb"
	"maddermill/wire"
)

// Operators are the operators' settings, with defaults filled in. Each field is described at the one
// of operators.proto that it is read from.
type Operators struct {
	// Placement.
	ColdStarts    int           // image fetches at once on a controller's machines; math.MaxInt: no bound
	FetchMark     time.Duration // how long an unreported fetch counts as under way
	WithholdAfter time.Duration // how long a gang waits until room is reserved for it
	Preempt       bool
	WaitBound     time.Duration // how long a job may wait to start; 0: no bound

	// Fleet.
	LostAfter    time.Duration // since the last heartbeat, until a machine is given up
	IdleBoots    float64       // idle time until a machine is returned, in boot times
	MostMachines int           // the most machines to rent; 0: no bound
	Spot         bool          // spot machines may be rented
	Headroom     float64       // machines beyond the demand, as a share of those in use

	// Users.
	RetryAfter time.Duration // that a user is asked to wait while the service can't answer

	// History.
	Archive    bool          // what is over moves out of the records
	KeptJobs   int           // finished jobs, and finished workflows, that stay on record
	Settle     time.Duration // from the upgrade of the format until anything moves
	FormatUpTo int           // the newest format of the records; 0: the newest known

	Plugins    Plugins
	Quarantine Quarantine
}

// Quarantine are the settings of judging machines by evidence.
type Quarantine struct {
	On     bool
	Faulty float64 // the share of machines that is expected to be faulty
	Wrong  float64 // the share of judgements that may be wrong
	Most   float64 // the largest share of a kind of machines that may be judged faulty
}

// MaxQuarantined returns how many of so many machines of a kind may be judged by evidence: at least
// one.
func (q Quarantine) MaxQuarantined(all int) int { return max(1, int(q.Most*float64(all))) }

// Plugins are the settings of policies in WebAssembly modules.
type Plugins struct {
	On       bool
	Keys     []ed25519.PublicKey // that may sign modules; none: modules need no signature
	MemoryMB int                 // that a module may take
	Call     time.Duration       // that a call of a module may take
	Starve   time.Duration       // how long a policy may pass over a job

	Initial   string // a module's file, to be used where no policy was ever chosen; "": none
	Signature []byte // of that module
}

// parseOperators reads and checks the operators' file. Fields left out get their defaults, some of
// which depend on the platform's settings s.
func parseOperators(text []byte, s *Settings) (Operators, error) {
	var m operatorspb.Operators
	if err := prototext.Unmarshal(text, &m); err != nil {
		return Operators{}, err
	}
	var o Operators
	var errs fieldErrors
	report := s.Cluster.Workers.Report
	o.readPlacement(orEmpty(m.GetPlacement()), &errs)
	o.readFleet(orEmpty(m.GetFleet()), report, &errs)
	o.Plugins = readPlugins(orEmpty(m.GetPlugins()), &errs)
	o.Quarantine = readQuarantine(orEmpty(m.GetQuarantine()), &errs)
	o.readHistory(orEmpty(m.GetHistory()), &errs)
	o.readUsers(orEmpty(m.GetUsers()), &errs)
	return o, errs.join()
}

// or returns what v points to, or a default if v is nil.
func or[T any](v *T, otherwise T) T {
	if v != nil {
		return *v
	}
	return otherwise
}

// orEmpty returns a message, or an empty one if it was left out.
func orEmpty[T any](message *T) *T {
	if message != nil {
		return message
	}
	return new(T)
}

// secondsOr returns a field in seconds, or a default if it was left out.
func secondsOr(v *float64, otherwise float64) time.Duration {
	return wire.Seconds(or(v, otherwise)).Duration()
}

// readPlacement reads the fields of placement.
func (o *Operators) readPlacement(m *operatorspb.Placement, errs *fieldErrors) {
	o.ColdStarts = int(or(m.ColdStarts, 0))
	if o.ColdStarts == 0 {
		o.ColdStarts = math.MaxInt
	}
	o.FetchMark = secondsOr(m.FetchMarkS, 60)
	o.WithholdAfter = secondsOr(m.WithholdAfterS, 5)
	o.Preempt = or(m.Preempt, true)
	o.WaitBound = secondsOr(m.WaitBoundS, 240)

	errs.require(o.FetchMark > 0, "placement.fetch_mark_s", "must be above 0")
	errs.require(o.WithholdAfter >= 0, "placement.withhold_after_s", "must not be below 0")
	errs.require(o.WaitBound >= 0, "placement.wait_bound_s", "must not be below 0")
}

// readFleet reads the fields of fleet. report is the time between two heartbeats.
func (o *Operators) readFleet(m *operatorspb.Fleet, report wire.Seconds, errs *fieldErrors) {
	o.LostAfter = secondsOr(m.LostAfterS, 5*float64(report))
	o.IdleBoots = or(m.IdleBoots, 0.5)
	o.MostMachines = int(or(m.MostMachines, 0))
	o.Spot = or(m.Spot, true)
	o.Headroom = or(m.Headroom, 0)

	minLostAfter := (3 * report).Duration()
	errs.require(o.LostAfter >= minLostAfter,
		"fleet.lost_after_s", fmt.Sprintf("must be at least three reports (%v)", minLostAfter))
	errs.require(o.IdleBoots >= 0, "fleet.idle_boots", "must not be below 0")
	errs.require(o.Headroom >= 0 && o.Headroom <= 10, "fleet.headroom", "must be from 0 to 10")
}

// readPlugins reads the fields of plugins.
func readPlugins(m *operatorspb.Plugins, errs *fieldErrors) Plugins {
	p := Plugins{
		On:       or(m.On, false),
		MemoryMB: int(or(m.MemoryMb, 64)),
		Call:     time.Duration(or(m.CallMs, 200)) * time.Millisecond,
		Starve:   secondsOr(m.StarveS, 600),
		Initial:  m.GetInitialModule(),
	}
	errs.require(p.Initial == "" || p.On, "plugins.initial_module", "plug-ins are off")
	p.Signature = readInitialSignature(m, errs)
	p.Keys = readPublicKeys(m.PublicKeys, errs)

	errs.require(p.MemoryMB >= 8 && p.MemoryMB <= 1024, "plugins.memory_mb", "must be from 8 to 1024")
	errs.require(p.Call >= time.Millisecond && p.Call <= 10*time.Second,
		"plugins.call_ms", "must be from 1 to 10000")
	errs.require(p.Starve >= time.Minute, "plugins.starve_s", "must be at least 60")
	return p
}

// readInitialSignature reads the signature of the initial module, which is needed if there are public
// keys.
func readInitialSignature(m *operatorspb.Plugins, errs *fieldErrors) []byte {
	const field = "plugins.initial_signature"
	hasModule := m.GetInitialModule() != ""
	text := m.GetInitialSignature()
	if text == "" {
		errs.require(!hasModule || len(m.PublicKeys) == 0,
			field, "is missing, and plugins.public_keys ask for one")
		return nil
	}
	signature, err := base64.StdEncoding.DecodeString(text)
	errs.require(err == nil && len(signature) == ed25519.SignatureSize && hasModule,
		field, "is not an Ed25519 signature in base64 of an initial module")
	return signature
}

// readPublicKeys reads the keys that may sign modules.
func readPublicKeys(texts []string, errs *fieldErrors) []ed25519.PublicKey {
	var keys []ed25519.PublicKey
	for i, text := range texts {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			errs.add(fmt.Sprintf("plugins.public_keys[%d]", i), "is not an Ed25519 key in base64")
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// readQuarantine reads the fields of quarantine.
func readQuarantine(m *operatorspb.Quarantine, errs *fieldErrors) Quarantine {
	q := Quarantine{
		On:     or(m.On, false),
		Faulty: or(m.FaultyShare, 0.01),
		Wrong:  or(m.WrongShare, 0.004),
		Most:   or(m.MostShare, 0.1),
	}
	const reason = "must be above 0 and at most 0.5"
	errs.require(q.Faulty > 0 && q.Faulty <= 0.5, "quarantine.faulty_share", reason)
	errs.require(q.Wrong > 0 && q.Wrong <= 0.5, "quarantine.wrong_share", reason)
	errs.require(q.Most >= 0 && q.Most <= 1, "quarantine.most_share", "must be from 0 to 1")
	return q
}

// readHistory reads the fields of history.
func (o *Operators) readHistory(m *operatorspb.History, errs *fieldErrors) {
	o.Archive = or(m.Archive, true)
	o.KeptJobs = int(or(m.KeptJobs, 1000))
	o.Settle = secondsOr(m.SettleS, 3600)
	o.FormatUpTo = int(or(m.FormatUpTo, 0))

	errs.require(o.KeptJobs <= 100_000, "history.kept_jobs", "must be from 0 to 100000")
	errs.require(o.Settle >= 0, "history.settle_s", "must not be below 0")
}

// readUsers reads the fields of users.
func (o *Operators) readUsers(m *operatorspb.Users, errs *fieldErrors) {
	o.RetryAfter = secondsOr(m.RetryAfterS, 1)
	errs.require(o.RetryAfter >= time.Second && o.RetryAfter <= 30*time.Second,
		"users.retry_after_s", "must be from 1 to 30")
}
