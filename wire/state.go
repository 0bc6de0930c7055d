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

// Condition holds when a key has a version; 0: the key does not exist.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"stamp"`
}

// Change puts or deletes one key.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  LeaseID         `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then"`
}

// TxnResult answers a transaction; Failed names the keys that differ.
type TxnResult struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"epoch"`
}

// LeaseRequest asks for a lease; LeaseGrant answers.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant names a granted lease.
type LeaseGrant struct {
	Lease LeaseID `json:"tenure"`
}

// Event is one change told by a watch.
type Event struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version Revision        `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// Events is a watch's answer.
type Events struct {
	Revision Revision `json:"epoch"`
	Events   []Event  `json:"log"`
}
