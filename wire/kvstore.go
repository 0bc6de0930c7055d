package wire

import "encoding/json"

// Item is a key of the state service with its value.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"stamp"`
	Lease   LeaseID         `json:"tenure,omitempty"`
}

// ItemPage is a page of keys.
type ItemPage struct {
	Items    []Item   `json:"pairs"`
	More     bool     `json:"has_next"`
	Revision Revision `json:"epoch"`
}

// Condition holds if a key has a version; with version 0, if the key does not exist.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"stamp"`
}

// Change puts or deletes one key. A key with a lease is deleted when the lease expires.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  LeaseID         `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is an atomic compare-and-swap: if all conditions hold, all changes are made.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then"`
}

// TxnResult answers a transaction: the keys whose conditions failed, or the revision that it made.
type TxnResult struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"epoch"`
}

// LeaseRequest asks for a lease. LeaseGrant is the answer.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant names a granted lease.
type LeaseGrant struct {
	Lease LeaseID `json:"tenure"`
}

// Event is one change in the answer to a watch: Put with Value, or Delete.
type Event struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version Revision        `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// Events is the answer to a watch: the changes up to a revision.
type Events struct {
	Revision Revision `json:"epoch"`
	Events   []Event  `json:"log"`
}
