package wire

import "encoding/json"

// Item is a key-value pair of the state service.
type Item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"stamp"`
	Lease   LeaseID         `json:"tenure,omitempty"`
}

// ItemPage is a page of key-value pairs with the store's revision.
type ItemPage struct {
	Items    []Item   `json:"pairs"`
	More     bool     `json:"has_next"`
	Revision Revision `json:"epoch"`
}

// Condition compares a key's version. Version 0 means that the key must not exist.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"stamp"`
}

// Change puts or deletes one key. A key that is put with a lease is deleted when the lease expires.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  LeaseID         `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is an atomic compare-and-swap: if all conditions hold, all changes are applied, otherwise none.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then"`
}

// TxnResult is the response to a transaction: the keys whose conditions failed, or the revision that the
// transaction created.
type TxnResult struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"epoch"`
}

// LeaseRequest requests a lease with a time to live. The response is a LeaseGrant.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseGrant is a granted lease.
type LeaseGrant struct {
	Lease LeaseID `json:"tenure"`
}

// Event is one change in the response to a watch: Put with Value, or Delete.
type Event struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version Revision        `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// Events is the response to a watch: the changes up to a revision.
type Events struct {
	Revision Revision `json:"epoch"`
	Events   []Event  `json:"log"`
}
