package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the state service that PROTOCOL states.
const (
	keptChanges   = 10_000
	maxPairs      = 1000
	maxPairsBytes = 512 << 10
	maxBodyBytes  = 64 << 10
)

// pair is a key of the state service with its value.
type pair struct {
	Key    string          `json:"k"`
	Data   json.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Tenure uint64          `json:"tenure,omitempty"`
}

// logEntry is a change in the answer to a watch.
type logEntry struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

func (e *logEntry) key() string { return e.Set + e.Delete }

// condition and operation are the parts of a transaction.
type condition struct {
	Key   string `json:"k"`
	Stamp uint64 `json:"stamp"`
}

type operation struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Tenure uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

type transaction struct {
	If   []condition `json:"if"`
	Then []operation `json:"then"`
}

// leaseState is a lease of the state service.
type leaseState struct {
	life time.Duration
	ends time.Time
}

// store is a stand-in of the state service (PROTOCOL, "Controller nodes -> state service").
type store struct {
	valueBytes, txnOps int
	requests, changes  *bucket

	mu        sync.Mutex // guards the fields below
	epoch     uint64
	pairs     map[string]pair
	log       []logEntry
	leases    map[uint64]*leaseState
	lastLease uint64
	changed   chan struct{} // closed and replaced with each change
}

func newStore(s *site) *store {
	return &store{
		valueBytes: int(s.valueKB * 1024),
		txnOps:     s.txnOps,
		requests:   newBucket(s.stateRPS),
		changes:    newBucket(s.stateWriteRPS),
		pairs:      map[string]pair{},
		leases:     map[uint64]*leaseState{},
		changed:    make(chan struct{}),
	}
}

// expire ends the leases whose time is over. s.mu is held.
func (s *store) expire() {
	now := time.Now()
	var ended []uint64
	for id, l := range s.leases {
		if now.After(l.ends) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		s.endLease(id)
	}
}

// endLease ends a lease and removes its keys. s.mu is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var ops []operation
	for k, p := range s.pairs {
		if p.Tenure == id {
			ops = append(ops, operation{Delete: k})
		}
	}
	if len(ops) > 0 {
		s.apply(ops)
	}
}

// apply carries out changes under one new revision. s.mu is held.
func (s *store) apply(ops []operation) {
	s.epoch++
	for _, op := range ops {
		if op.Delete != "" {
			if _, ok := s.pairs[op.Delete]; ok {
				delete(s.pairs, op.Delete)
				s.log = append(s.log, logEntry{Delete: op.Delete, Stamp: s.epoch})
			}
			continue
		}
		s.pairs[op.Set] = pair{op.Set, op.Data, s.epoch, op.Tenure}
		s.log = append(s.log, logEntry{Set: op.Set, Data: op.Data, Stamp: s.epoch})
	}
	if n := len(s.log) - keptChanges; n > 0 {
		s.log = append([]logEntry(nil), s.log[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit carries out a transaction and returns the status and body of its answer.
func (s *store) commit(t *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(t.Then) > s.txnOps || len(t.If) > 4*s.txnOps {
		return 400, errorText("malformed")
	}
	for _, op := range t.Then {
		key := op.Set + op.Delete
		if key == "" || len(key) > 200 || strings.Contains(key, " ") || len(op.Data) > s.valueBytes {
			return 400, errorText("malformed")
		}
		if op.Tenure != 0 && s.leases[op.Tenure] == nil {
			return 400, errorText("no such lease")
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.pairs[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "epoch": s.epoch}
	}
	if len(t.Then) > 0 {
		s.apply(t.Then)
	}
	return 200, map[string]any{"epoch": s.epoch}
}

// list answers GET /store?starts=.
func (s *store) list(prefix, after string, most int) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.pairs {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if most <= 0 || most > maxPairs {
		most = maxPairs
	}
	pairs, size, more := []pair{}, 0, false
	for _, k := range keys {
		p := s.pairs[k]
		size += len(k) + len(p.Data) + 60
		if len(pairs) == most || size > maxPairsBytes {
			more = true
			break
		}
		p.Tenure = 0
		pairs = append(pairs, p)
	}
	return 200, map[string]any{"pairs": pairs, "has_next": more, "epoch": s.epoch}
}

// get answers GET /store/KEY.
func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if p, ok := s.pairs[key]; ok {
		return 200, p
	}
	return 404, map[string]any{"epoch": s.epoch}
}

// since returns the changes after a revision, or a channel that is closed with the next change. gone reports
// that the changes are not kept any more.
func (s *store) since(prefix string, from uint64) (log []logEntry, epoch uint64, next chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.epoch && (len(s.log) == 0 || s.log[0].Stamp > from+1) {
		return nil, s.epoch, nil, true
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > from })
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.key(), prefix) {
			log = append(log, e)
		}
	}
	return log, s.epoch, s.changed, false
}

// lease grants, renews or ends leases.
func (s *store) grant(life time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &leaseState{life, time.Now().Add(life)}
	return 200, map[string]any{"tenure": s.lastLease}
}

func (s *store) renew(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 404, map[string]any{"epoch": s.epoch}
	}
	l.ends = time.Now().Add(l.life)
	return 200, map[string]any{}
}

func (s *store) end(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	return 200, map[string]any{}
}

// serveTransaction answers POST /multi.
func (s *store) serveTransaction(body []byte) (int, any) {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return 400, errorText("malformed")
	}
	if !s.changes.take(float64(len(t.Then))) {
		return 429, errorText("too many changes")
	}
	return s.commit(&t)
}

// serveWatch answers GET /changes.
func (s *store) serveWatch(r *http.Request) (int, any) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for {
		log, epoch, next, gone := s.since(q.Get("starts"), from)
		switch {
		case gone:
			return 410, errorText("too old")
		case len(log) > 0:
			return 200, map[string]any{"epoch": epoch, "log": log}
		case !time.Now().Before(end):
			return 200, map[string]any{"epoch": epoch, "log": []logEntry{}}
		}
		select {
		case <-next:
		case <-time.After(min(200*time.Millisecond, max(time.Millisecond, time.Until(end)))): // leases may have ended
		case <-r.Context().Done():
			return 503, errorText("gone")
		}
	}
}
