// Package ledger mirrors the durable records of the state service and holds
// their legal transitions. The rules that users measure live here: a Draft
// refuses what would break one, and its transaction is conditioned on every
// record that the decision was read from.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"maddermill/wire"
)

// Prefix is the part of the key space that belongs to maddermill. The version
// of the layout is in it.
const Prefix = "mm1/"

// Keys of the durable records.
const (
	LeaderKey   = Prefix + "leader"
	TokenKey    = Prefix + "token"
	ScaleOutKey = Prefix + "hires"

	jobPrefix         = Prefix + "j/"
	taskRangePrefix   = Prefix + "t/"
	machinePrefix     = Prefix + "m/"
	teamPrefix        = Prefix + "u/"
	memberPrefix      = Prefix + "n/"
	machineTypePrefix = Prefix + "f/"
)

func jobKey(id wire.JobID) string { return jobPrefix + string(id) }
func taskRangeKey(id wire.JobID, n int) string {
	if n == 0 {
		return jobKey(id)
	}
	return fmt.Sprintf("%s%s/%d", taskRangePrefix, id, n)
}
func machineKey(id wire.MachineID) string { return machinePrefix + string(id) }
func teamKey(t wire.Team) string          { return teamPrefix + strconv.Quote(string(t)) }

// MemberKey is where a controller publishes its picture.
func MemberKey(m wire.MemberID) string { return memberPrefix + string(m) }

// MachineTypeKey is where the leader publishes a machine type.
func MachineTypeKey(t wire.MachineTypeName) string {
	return machineTypePrefix + strconv.Quote(string(t))
}

// Resources are amounts in millionths, so that sums are exact.
type Resources struct{ CPU, GPU, Memory int64 }

// NewResources converts from the protocol's decimals.
func NewResources(cpus, gpus, memory float64) Resources {
	m := func(v float64) int64 { return int64(math.Round(v * 1e6)) }
	return Resources{m(cpus), m(gpus), m(memory)}
}

// Add returns r + n·o.
func (r Resources) Add(o Resources, n int) Resources {
	k := int64(n)
	return Resources{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Memory + k*o.Memory}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// Times returns how many o fit into r, at most max.
func (r Resources) Times(o Resources, limit int) int {
	n := int64(limit)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(n)
}

// JobState is a job's durable state.
type JobState string

// The durable states: a job is active until it is done or cancelled, for ever.
const (
	Active    JobState = ""
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// Claim says that tasks [First, First+Count) may be on a machine. It is written
// before any of them is started there and goes only when all are proven gone.
type Claim struct {
	First   wire.TaskIndex
	Count   int
	Attempt wire.Attempt
	Machine wire.MachineID
	Zone    wire.Zone
	Session wire.AgentEpoch
	Token   wire.FencingToken
}

// claimList is a range's claims as they are written: values are small at some places,
// and tasks of one start end in any order. What one start holds is one array, of
// attempt, machine, zone, session, token and then pairs of first task and count, so
// that a claim that has fallen into pieces costs a pair for each and not its names.
type claimList []Claim

// sameStart reports whether two claims are pieces of one.
func (c *Claim) sameStart(o *Claim) bool {
	return c.Attempt == o.Attempt && c.Machine == o.Machine && c.Zone == o.Zone && c.Session == o.Session &&
		c.Token == o.Token
}

// MarshalJSON writes the claims start by start.
func (claims claimList) MarshalJSON() ([]byte, error) {
	var starts [][]any
	var of []*Claim
next:
	for i := range claims {
		c := &claims[i]
		for k, o := range of {
			if o.sameStart(c) {
				starts[k] = append(starts[k], c.First, c.Count)
				continue next
			}
		}
		of = append(of, c)
		starts = append(starts, []any{c.Attempt, c.Machine, c.Zone, c.Session, c.Token, c.First, c.Count})
	}
	return json.Marshal(starts)
}

// UnmarshalJSON reads what MarshalJSON wrote, and the form of earlier versions: an
// array a claim, of first task, count, attempt, machine, zone, session and token.
func (claims *claimList) UnmarshalJSON(b []byte) error {
	var starts [][]json.RawMessage
	if err := json.Unmarshal(b, &starts); err != nil {
		return err
	}
	*claims = nil
	for _, s := range starts {
		if len(s) < 7 || len(s)%2 == 0 {
			return fmt.Errorf("ledger: claim of %d fields", len(s))
		}
		var c Claim
		names, pairs := s[:5], s[5:]
		if s[1][0] != '"' {
			names, pairs = s[2:], s[:2]
		}
		for i, f := range []any{&c.Attempt, &c.Machine, &c.Zone, &c.Session, &c.Token} {
			if err := json.Unmarshal(names[i], f); err != nil {
				return err
			}
		}
		for ; len(pairs) > 0; pairs = pairs[2:] {
			if err := errors.Join(json.Unmarshal(pairs[0], &c.First), json.Unmarshal(pairs[1], &c.Count)); err != nil {
				return err
			}
			*claims = append(*claims, c)
		}
	}
	return nil
}

// maxPairBytes is what a piece of a claim takes of a value at the most.
const maxPairBytes = 10

// worstBytes is what the claims take at the most, however their tasks end: a piece
// falls into half as many as it has tasks.
func (claims claimList) worstBytes() int {
	sum := 0
	for i := range claims {
		if !slices.ContainsFunc(claims[:i], func(o Claim) bool { return o.sameStart(&claims[i]) }) {
			sum += maxClaimBytes
		}
		sum += (claims[i].Count + 1) / 2 * maxPairBytes
	}
	return sum
}

// Covers reports whether a task is one of the claim's.
func (c *Claim) Covers(t wire.TaskIndex) bool {
	return t >= c.First && int(t-c.First) < c.Count
}

// taskRangeRecord is the durable part of a range of a job's tasks.
type taskRangeRecord struct {
	Attempt wire.Attempt `json:"a,omitempty"` // last attempt given out
	Done    []byte       `json:"d,omitempty"` // a bit a task
	Claims  claimList    `json:"c,omitempty"`
}

// jobRecord is a job; the first range of its tasks is kept in it.
type jobRecord struct {
	Spec      *wire.JobSpec   `json:"spec"`
	Accepted  wire.UnixMillis `json:"at"`
	State     JobState        `json:"state,omitempty"`
	Stop      wire.Attempt    `json:"stop,omitempty"`  // gangs up to this attempt are to stop
	Range     int             `json:"range,omitempty"` // tasks a record; 0: as many as may each have a claim
	Workflow  wire.WorkflowID `json:"of,omitempty"`    // the workflow that it is a step of
	FinalDone int             `json:"kept,omitempty"`  // tasks done, once the job is over and its ranges go

	Gallery wire.GalleryName `json:"g,omitempty"` // that it is tied to
	Ended   wire.UnixMillis  `json:"e,omitempty"` // when it was done, if it is tied
	taskRangeRecord
}

// MachinePhase is how far a machine is on its way out.
type MachinePhase string

// The marks of machines that leave. There is no way back.
const (
	Terminating MachinePhase = "leaving" // being returned, tasks or not
	Terminated  MachinePhase = "gone"    // the cloud has confirmed
)

type machineRecord struct {
	Phase  MachinePhase `json:"s"`
	Reason string       `json:"why,omitempty"`
}

type teamRecord struct {
	By wire.FencingToken `json:"by"`
}

// TokenRecord is the counter that tokens are taken from.
type TokenRecord struct {
	Last wire.FencingToken `json:"n"`
	By   wire.MemberID     `json:"by"`
	// Reads is the newest format that everyone who ever took a token reads. Versions that
	// know of one format only leave it out.
	Reads int `json:"r,omitempty"`
}

// Next is the record with which a controller takes a token that reads formats up to reads.
func (r TokenRecord) Next(last wire.FencingToken, by wire.MemberID, reads int) TokenRecord {
	n := TokenRecord{Last: last, By: by, Reads: min(r.Reads, reads)}
	if r.Last == 0 {
		n.Reads = reads
	}
	return n
}

// LeaderRecord names the fleet's leader.
type LeaderRecord struct {
	Member wire.MemberID     `json:"by"`
	Token  wire.FencingToken `json:"token"`
}

// ScaleOutIntent is a rental that a leader asks the cloud for. The cloud answers a
// repeated request as it did the first, so whoever reads this can ask what came of it.
type ScaleOutIntent struct {
	wire.ScaleOutRequest
	At wire.UnixMillis `json:"at"`
}

// ScaleOutRecord holds the rentals that the cloud's list may not show yet. It is
// written before the cloud is asked.
type ScaleOutRecord struct {
	Recent []ScaleOutIntent `json:"recent"`
}

// HireBytes is about what a rental takes of the record.
const HireBytes = 200

func parseTaskRangeKey(rest string) (wire.JobID, int, bool) {
	id, n, ok := strings.Cut(rest, "/")
	i, err := strconv.Atoi(n)
	return wire.JobID(id), i, ok && err == nil && i > 0
}
