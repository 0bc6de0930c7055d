package ledger

import "maddermill/wire"

// ModuleRecord lists a module.
type ModuleRecord struct {
	Name      string          `json:"name"`
	Bytes     int             `json:"bytes"` // of its code
	Pieces    int             `json:"n"`
	At        wire.UnixMillis `json:"at"` // loaded
	Signature []byte          `json:"sig,omitempty"`
}

// PolicyRecord tells which policy all controllers use.
type PolicyRecord struct {
	Use  wire.ModuleHash `json:"use,omitempty"`  // "": the built-in one
	Last wire.ModuleHash `json:"last,omitempty"` // the one before, for going back
	Next wire.ModuleHash `json:"next,omitempty"` // to be used once every controller has it
	At   wire.UnixMillis `json:"at,omitempty"`   // when Next was asked for, or the last change
	Why  string          `json:"why,omitempty"`  // the last swap was not completed
}

// RequestSwap begins a change to a module, or makes the built-in policy ("") the one at once.
func (r PolicyRecord) RequestSwap(h wire.ModuleHash, now wire.UnixMillis) (PolicyRecord, error) {
	switch {
	case h == "":
		if r.Use != "" {
			r.Last = r.Use
		}
		return PolicyRecord{Last: r.Last, At: now}, nil
	case r.Next != "":
		return r, ErrSwapping
	}
	r.Next, r.At, r.Why = h, now, ""
	return r, nil
}

// Rollback begins a change to the policy before.
func (r PolicyRecord) Rollback(now wire.UnixMillis) (PolicyRecord, error) {
	if r.Next != "" {
		return PolicyRecord{Use: r.Use, Last: r.Last, At: now, Why: "given up by an operator"}, nil
	}
	if r.Use == "" && r.Last == "" {
		return r, ErrNoPreviousPolicy
	}
	return r.RequestSwap(r.Last, now)
}

// EndSwap completes the change under way, or gives it up with a reason.
func (r PolicyRecord) EndSwap(why string, now wire.UnixMillis) PolicyRecord {
	if why != "" {
		return PolicyRecord{Use: r.Use, Last: r.Last, At: now, Why: why}
	}
	return PolicyRecord{Use: r.Next, Last: r.Use, At: now}
}

// RemoveModule returns the record when a module is removed that is not in use nor about to be; there
// is no going back to it then.
func (r PolicyRecord) RemoveModule(h wire.ModuleHash) (PolicyRecord, error) {
	if h == r.Use || h == r.Next {
		return r, ErrInUse
	}
	if h == r.Last {
		r.Last = ""
	}
	return r, nil
}

// Policy returns which policy is in use, and the record's version.
func (l *Ledger) Policy() (PolicyRecord, wire.Revision) { return l.policy, l.policyVersion }

// Module returns a module's listing.
func (l *Ledger) Module(h wire.ModuleHash) (ModuleRecord, bool) {
	m, ok := l.modules[h]
	return m, ok
}
