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

// Operators holds the operators' settings, with defaults filled in. operators.proto documents the field
// that each is read from.
type Operators struct {
	// Placement.
	ColdStarts   int           // concurrent image fetches on one controller's machines; math.MaxInt: no limit
	FetchAssumed time.Duration // how long a fetch counts as in flight before a heartbeat reports it
	ReserveAfter time.Duration // how long a gang waits before resources are reserved for it
	Preempt      bool          // jobs of higher priority may preempt others
	MaxWait      time.Duration // the longest that a job may wait to start; 0: no limit

	// Fleet.
	LostAfter   time.Duration // time without a heartbeat after which a machine counts as lost
	IdleBoots   float64       // idle time before a machine is returned, as a multiple of its boot time
	MaxMachines int           // the most machines to rent at once; 0: no limit
	Spot        bool          // spot machines may be rented
	Headroom    float64       // spare machines to keep, as a share of those in use

	// Users.
	RetryAfter time.Duration // delay before a retry that clients are told while the service is unavailable

	// History.
	Archive      bool          // finished jobs and returned machines move from the records to the archive
	KeptJobs     int           // finished jobs, and finished workflows, that are not archived
	ArchiveDelay time.Duration // time after an upgrade of the records' format before anything is archived
	FormatUpTo   int           // the newest format to upgrade the records to; 0: the newest supported

	Plugins    Plugins
	Quarantine Quarantine
}

// Quarantine holds the settings of statistical detection of faulty machines.
type Quarantine struct {
	On             bool
	FaultyShare    float64 // prior: the expected share of faulty machines
	WrongShare     float64 // the tolerated share of false positives among machines judged faulty
	MaxFaultyShare float64 // the largest share of the machines of a kind that may be judged faulty
}

// MaxQuarantined returns how many of the machines of a kind may be quarantined, given their total: at least
// one.
func (q Quarantine) MaxQuarantined(total int) int {
	return max(1, int(q.MaxFaultyShare*float64(total)))
}

// Plugins holds the settings of policy plug-ins, which are WebAssembly modules.
type Plugins struct {
	On                bool
	Keys              []ed25519.PublicKey // trusted to sign modules; none: modules need no signature
	MemoryMB          int                 // memory limit of a module
	CallTimeout       time.Duration       // time limit of a call into a module
	StarvationTimeout time.Duration       // the longest that a policy may skip a job

	Initial   string // path of the module to use if no policy was ever chosen; "": none
	Signature []byte // of the initial module
}

// parseOperators parses and validates the operators' file. Fields left out get defaults, some of which
// depend on the platform's settings s.
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

// valueOr returns *v, or a fallback if v is nil.
func valueOr[T any](v *T, fallback T) T {
	if v != nil {
		return *v
	}
	return fallback
}

// orEmpty returns a message, or an empty one if it is nil.
func orEmpty[T any](message *T) *T {
	if message != nil {
		return message
	}
	return new(T)
}

// secondsOr converts a field in seconds to a duration, or a fallback if the field was left out.
func secondsOr(v *float64, fallback float64) time.Duration {
	return wire.Seconds(valueOr(v, fallback)).Duration()
}

// readPlacement reads and validates the placement settings.
func (o *Operators) readPlacement(m *operatorspb.Placement, errs *fieldErrors) {
	o.ColdStarts = int(valueOr(m.ColdStarts, 0))
	if o.ColdStarts == 0 {
		o.ColdStarts = math.MaxInt
	}
	o.FetchAssumed = secondsOr(m.FetchMarkS, 60)
	o.ReserveAfter = secondsOr(m.WithholdAfterS, 5)
	o.Preempt = valueOr(m.Preempt, true)
	o.MaxWait = secondsOr(m.WaitBoundS, 240)

	errs.require(o.FetchAssumed > 0, "placement.fetch_mark_s", "must be above 0")
	errs.require(o.ReserveAfter >= 0, "placement.withhold_after_s", "must not be below 0")
	errs.require(o.MaxWait >= 0, "placement.wait_bound_s", "must not be below 0")
}

// readFleet reads and validates the fleet settings. report is the heartbeat interval.
func (o *Operators) readFleet(m *operatorspb.Fleet, report wire.Seconds, errs *fieldErrors) {
	o.LostAfter = secondsOr(m.LostAfterS, 5*float64(report))
	o.IdleBoots = valueOr(m.IdleBoots, 0.5)
	o.MaxMachines = int(valueOr(m.MostMachines, 0))
	o.Spot = valueOr(m.Spot, true)
	o.Headroom = valueOr(m.Headroom, 0)

	minLostAfter := (3 * report).Duration()
	errs.require(o.LostAfter >= minLostAfter,
		"fleet.lost_after_s", fmt.Sprintf("must be at least three heartbeat intervals (%v)", minLostAfter))
	errs.require(o.IdleBoots >= 0, "fleet.idle_boots", "must not be below 0")
	errs.require(o.Headroom >= 0 && o.Headroom <= 10, "fleet.headroom", "must be from 0 to 10")
}

// readPlugins reads and validates the plug-in settings.
func readPlugins(m *operatorspb.Plugins, errs *fieldErrors) Plugins {
	p := Plugins{
		On:                valueOr(m.On, false),
		MemoryMB:          int(valueOr(m.MemoryMb, 64)),
		CallTimeout:       time.Duration(valueOr(m.CallMs, 200)) * time.Millisecond,
		StarvationTimeout: secondsOr(m.StarveS, 600),
		Initial:           m.GetInitialModule(),
	}
	errs.require(p.Initial == "" || p.On, "plugins.initial_module", "plug-ins are off")
	p.Signature = readInitialSignature(m, errs)
	p.Keys = readPublicKeys(m.PublicKeys, errs)

	errs.require(p.MemoryMB >= 8 && p.MemoryMB <= 1024, "plugins.memory_mb", "must be from 8 to 1024")
	errs.require(p.CallTimeout >= time.Millisecond && p.CallTimeout <= 10*time.Second,
		"plugins.call_ms", "must be from 1 to 10000")
	errs.require(p.StarvationTimeout >= time.Minute, "plugins.starve_s", "must be at least 60")
	return p
}

// readInitialSignature reads the signature of the initial module, which is required if there are public
// keys.
func readInitialSignature(m *operatorspb.Plugins, errs *fieldErrors) []byte {
	const field = "plugins.initial_signature"
	hasModule := m.GetInitialModule() != ""
	text := m.GetInitialSignature()
	if text == "" {
		errs.require(!hasModule || len(m.PublicKeys) == 0,
			field, "is missing: plugins.public_keys require signed modules")
		return nil
	}
	signature, err := base64.StdEncoding.DecodeString(text)
	errs.require(err == nil && len(signature) == ed25519.SignatureSize && hasModule,
		field, "is not an Ed25519 signature in base64 of an initial module")
	return signature
}

// readPublicKeys decodes the public keys that verify modules' signatures.
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

// readQuarantine reads and validates the quarantine settings.
func readQuarantine(m *operatorspb.Quarantine, errs *fieldErrors) Quarantine {
	q := Quarantine{
		On:             valueOr(m.On, false),
		FaultyShare:    valueOr(m.FaultyShare, 0.01),
		WrongShare:     valueOr(m.WrongShare, 0.004),
		MaxFaultyShare: valueOr(m.MostShare, 0.1),
	}
	const reason = "must be above 0 and at most 0.5"
	errs.require(q.FaultyShare > 0 && q.FaultyShare <= 0.5, "quarantine.faulty_share", reason)
	errs.require(q.WrongShare > 0 && q.WrongShare <= 0.5, "quarantine.wrong_share", reason)
	errs.require(q.MaxFaultyShare >= 0 && q.MaxFaultyShare <= 1, "quarantine.most_share", "must be from 0 to 1")
	return q
}

// readHistory reads and validates the archive settings.
func (o *Operators) readHistory(m *operatorspb.History, errs *fieldErrors) {
	o.Archive = valueOr(m.Archive, true)
	o.KeptJobs = int(valueOr(m.KeptJobs, 1000))
	o.ArchiveDelay = secondsOr(m.SettleS, 3600)
	o.FormatUpTo = int(valueOr(m.FormatUpTo, 0))

	errs.require(o.KeptJobs <= 100_000, "history.kept_jobs", "must be from 0 to 100000")
	errs.require(o.ArchiveDelay >= 0, "history.settle_s", "must not be below 0")
}

// readUsers reads and validates the settings of the users' API.
func (o *Operators) readUsers(m *operatorspb.Users, errs *fieldErrors) {
	o.RetryAfter = secondsOr(m.RetryAfterS, 1)
	errs.require(o.RetryAfter >= time.Second && o.RetryAfter <= 30*time.Second,
		"users.retry_after_s", "must be from 1 to 30")
}
