package ledger

import "maddermill/wire"

// ModuleRecord is the listing of a module.
type ModuleRecord struct {
	Name      string          `json:"name"`
	Bytes     int             `json:"bytes"` // of its code
	Pieces    int             `json:"n"`     // of its code, see CodeKey
	At        wire.UnixMillis `json:"at"`    // when it was loaded
	Signature []byte          `json:"sig,omitempty"`
}

// PolicyRecord says which policy module all controllers use. Its methods return the record after a change.
type PolicyRecord struct {
	Use  wire.ModuleHash `json:"use,omitempty"`  // "": the built-in one
	Last wire.ModuleHash `json:"last,omitempty"` // the one before, for a rollback
	Next wire.ModuleHash `json:"next,omitempty"` // to be used once every controller has it
	At   wire.UnixMillis `json:"at,omitempty"`   // when Next was asked for, or the last change
	Why  string          `json:"why,omitempty"`  // the reason why the last swap was not completed
}

// RequestSwap starts a swap to a module, or returns to the built-in policy ("") at once. It returns
// ErrSwapping if another swap is not complete.
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

// Rollback gives up the swap that is not complete, or else starts one to the policy before. It returns
// ErrNoPreviousPolicy if there is none.
func (r PolicyRecord) Rollback(now wire.UnixMillis) (PolicyRecord, error) {
	if r.Next != "" {
		return PolicyRecord{Use: r.Use, Last: r.Last, At: now, Why: "given up by an operator"}, nil
	}
	if r.Use == "" && r.Last == "" {
		return r, ErrNoPreviousPolicy
	}
	return r.RequestSwap(r.Last, now)
}

// EndSwap completes the swap, or gives it up for a reason; "" completes it.
func (r PolicyRecord) EndSwap(why string, now wire.UnixMillis) PolicyRecord {
	if why != "" {
		return PolicyRecord{Use: r.Use, Last: r.Last, At: now, Why: why}
	}
	return PolicyRecord{Use: r.Next, Last: r.Use, At: now}
}

// RemoveModule returns the record after a module is removed, to which there is no rollback any more. It
// returns ErrInUse if the module is in use or about to be.
func (r PolicyRecord) RemoveModule(h wire.ModuleHash) (PolicyRecord, error) {
	if h == r.Use || h == r.Next {
		return r, ErrInUse
	}
	if h == r.Last {
		r.Last = ""
	}
	return r, nil
}

// Policy returns the policy record and its version, 0 if there is none.
func (l *Ledger) Policy() (PolicyRecord, wire.Revision) { return l.policy, l.policyVersion }

// Module returns a module's listing, false if there is none.
func (l *Ledger) Module(h wire.ModuleHash) (ModuleRecord, bool) {
	m, ok := l.modules[h]
	return m, ok
}
