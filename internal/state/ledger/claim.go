package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/wire"
)

// Claim says that tasks [First, First+Count) may run on a machine. It is written before any of them is
// started there, and a task leaves it only on proof that it no longer runs (DESIGN, "Safety", 2 and 5).
type Claim struct {
	First   wire.TaskIndex
	Count   int
	Attempt wire.Attempt
	Machine wire.MachineID
	Zone    wire.Zone
	Epoch   wire.AgentEpoch
	Token   wire.FencingToken // of the controller that held the machine
}

// claimList is the claims of a range of tasks as they are encoded. The pieces of one start are one array:
// attempt, machine, zone, session, token, and then a first task and a count for each piece. Some stores
// take only small values, and the tasks of one start end in any order: this way a claim that falls
// into pieces takes a pair for each of them and its names once.
type claimList []Claim

// sameStart reports whether two claims are pieces of one start.
func (c *Claim) sameStart(o *Claim) bool {
	return c.Attempt == o.Attempt && c.Machine == o.Machine && c.Zone == o.Zone && c.Epoch == o.Epoch &&
		c.Token == o.Token
}

// Covers reports whether the claim has a task.
func (c *Claim) Covers(t wire.TaskIndex) bool {
	return t >= c.First && int(t-c.First) < c.Count
}

// MarshalJSON encodes the claims start by start, in the order of their first pieces.
func (claims claimList) MarshalJSON() ([]byte, error) {
	var starts [][]any
	var firsts []*Claim // a claim of each of starts
next:
	for i := range claims {
		c := &claims[i]
		for k, o := range firsts {
			if o.sameStart(c) {
				starts[k] = append(starts[k], c.First, c.Count)
				continue next
			}
		}
		firsts = append(firsts, c)
		starts = append(starts, []any{c.Attempt, c.Machine, c.Zone, c.Epoch, c.Token, c.First, c.Count})
	}
	return json.Marshal(starts)
}

// UnmarshalJSON decodes what MarshalJSON encoded, and the form of earlier versions: an array for each claim,
// of first task, count, attempt, machine, zone, session and token. The second field tells them apart:
// it is a string only in the new form.
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
		for i, f := range []any{&c.Attempt, &c.Machine, &c.Zone, &c.Epoch, &c.Token} {
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

// worstBytes returns how many bytes the claims may come to take, however their tasks end: a piece falls into
// at most half as many as it has tasks.
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
