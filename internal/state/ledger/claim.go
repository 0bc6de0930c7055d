package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/wire"
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

// Covers reports whether a task is one of the claim's.
func (c *Claim) Covers(t wire.TaskIndex) bool {
	return t >= c.First && int(t-c.First) < c.Count
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
