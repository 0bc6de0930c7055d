package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"maddermill/internal/exactjson"
	"maddermill/wire"
)

// Claim permits tasks [First, First+Count) to run on a machine. It is written before any of them is started
// there, and a task is removed from it only on proof that it no longer runs (DESIGN, "Safety", 2 and 5).
type Claim struct {
	First   wire.TaskIndex
	Count   int
	Attempt wire.Attempt
	Machine wire.MachineID
	Zone    wire.Zone
	Epoch   wire.AgentEpoch
	Token   wire.FencingToken // of the controller that claimed the tasks; TakeOver raises it
}

// claimList encodes the claims of a task range. All pieces of one start are encoded as one array: attempt,
// machine, zone, epoch, token, and then the first task and the count of each piece. Some stores accept only small
// values, and the tasks of a start end in any order, which splits its claim into pieces: this way each further
// piece takes only a pair of numbers.
type claimList []Claim

// sameStart reports whether two claims are pieces of the same start.
func (c *Claim) sameStart(o *Claim) bool {
	return c.Attempt == o.Attempt && c.Machine == o.Machine && c.Zone == o.Zone && c.Epoch == o.Epoch &&
		c.Token == o.Token
}

// Covers reports whether the claim includes a task.
func (c *Claim) Covers(t wire.TaskIndex) bool {
	return t >= c.First && int(t-c.First) < c.Count
}

// MarshalJSON encodes the claims grouped by start, in the order of their first pieces.
func (claims claimList) MarshalJSON() ([]byte, error) {
	var starts [][]any
	var firsts []*Claim // the first piece of each start
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

// UnmarshalJSON decodes the encoding of MarshalJSON and that of earlier versions, which is an array for each
// claim: first task, count, attempt, machine, zone, epoch and token. The second field tells them apart: only in
// the current encoding it is a string.
func (claims *claimList) UnmarshalJSON(b []byte) error {
	var starts [][]json.RawMessage
	if err := exactjson.Unmarshal(b, &starts); err != nil {
		return err
	}
	*claims = nil
	for _, s := range starts {
		if len(s) < 7 || len(s)%2 == 0 {
			return fmt.Errorf("ledger: invalid claim record with %d fields", len(s))
		}
		var c Claim
		names, pairs := s[:5], s[5:]
		if s[1][0] != '"' {
			names, pairs = s[2:], s[:2]
		}
		for i, f := range []any{&c.Attempt, &c.Machine, &c.Zone, &c.Epoch, &c.Token} {
			if err := exactjson.Unmarshal(names[i], f); err != nil {
				return err
			}
		}
		for ; len(pairs) > 0; pairs = pairs[2:] {
			if err := errors.Join(exactjson.Unmarshal(pairs[0], &c.First), exactjson.Unmarshal(pairs[1], &c.Count)); err != nil {
				return err
			}
			*claims = append(*claims, c)
		}
	}
	return nil
}

// maxEncodedBytes returns an upper bound for the encoded size of the claims in whatever order their tasks end.
// A piece splits into at most half as many pieces as it has tasks, rounded up.
func (claims claimList) maxEncodedBytes() int {
	sum := 0
	for i := range claims {
		if !slices.ContainsFunc(claims[:i], func(o Claim) bool { return o.sameStart(&claims[i]) }) {
			sum += maxClaimBytes
		}
		sum += (claims[i].Count + 1) / 2 * maxPairBytes
	}
	return sum
}
