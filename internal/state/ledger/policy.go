package ledger

import "maddermill/wire"

// ModuleRecord lists a policy module that was loaded.
type ModuleRecord struct {
	Name      string          `json:"name"`
	Bytes     int             `json:"bytes"` // of its code
	Pieces    int             `json:"n"`     // chunks of its code, see CodeKey
	At        wire.UnixMillis `json:"at"`    // when it was loaded
	Signature []byte          `json:"sig,omitempty"`
}

// PolicyRecord selects the policy module that all controllers use. Its methods return the changed record.
type PolicyRecord struct {
	Current  wire.ModuleHash `json:"use,omitempty"`  // "" is the built-in policy
	Previous wire.ModuleHash `json:"last,omitempty"` // the previous one, for a rollback
	Next     wire.ModuleHash `json:"next,omitempty"` // pending: used once every controller has loaded it
	At       wire.UnixMillis `json:"at,omitempty"`   // when Next was requested, or the time of the last change
	Reason   string          `json:"why,omitempty"`  // why the last swap was not completed
}

// RequestSwap starts a swap to a module, or switches to the built-in policy ("") immediately. It returns
// ErrSwapInProgress if another swap to a module is in progress.
func (r PolicyRecord) RequestSwap(h wire.ModuleHash, now wire.UnixMillis) (PolicyRecord, error) {
	switch {
	case h == "":
		if r.Current != "" {
			r.Previous = r.Current
		}
		return PolicyRecord{Previous: r.Previous, At: now}, nil
	case r.Next != "":
		return r, ErrSwapInProgress
	}
	r.Next, r.At, r.Reason = h, now, ""
	return r, nil
}

// Rollback aborts the swap in progress, or if there is none starts a swap to the previous policy. It returns
// ErrNoPreviousPolicy if there is no previous policy.
func (r PolicyRecord) Rollback(now wire.UnixMillis) (PolicyRecord, error) {
	if r.Next != "" {
		return PolicyRecord{Current: r.Current, Previous: r.Previous, At: now, Reason: "given up by an operator"}, nil
	}
	if r.Current == "" && r.Previous == "" {
		return r, ErrNoPreviousPolicy
	}
	return r.RequestSwap(r.Previous, now)
}

// EndSwap completes the swap if why is empty, and otherwise aborts it for that reason.
func (r PolicyRecord) EndSwap(why string, now wire.UnixMillis) PolicyRecord {
	if why != "" {
		return PolicyRecord{Current: r.Current, Previous: r.Previous, At: now, Reason: why}
	}
	return PolicyRecord{Current: r.Next, Previous: r.Current, At: now}
}

// RemoveModule returns the record after a module is removed, without a rollback to it. It returns
// ErrModuleInUse if the module is the current or the next policy.
func (r PolicyRecord) RemoveModule(h wire.ModuleHash) (PolicyRecord, error) {
	if h == r.Current || h == r.Next {
		return r, ErrModuleInUse
	}
	if h == r.Previous {
		r.Previous = ""
	}
	return r, nil
}

// Policy returns the policy record and its version. The version is 0 if there is no record.
func (l *Ledger) Policy() (PolicyRecord, wire.Revision) { return l.policy, l.policyVersion }

// Module returns the record of a module, and whether there is one.
func (l *Ledger) Module(h wire.ModuleHash) (ModuleRecord, bool) {
	m, ok := l.modules[h]
	return m, ok
}
