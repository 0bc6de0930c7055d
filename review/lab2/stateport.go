package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// statePort is the way of one controller to the state service.
type statePort struct {
	store *store
}

// ServeHTTP implements http.Handler.
func (p *statePort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		reply(w, 400, errorText("malformed"))
		return
	}
	time.Sleep(time.Duration(1+rand.IntN(5)) * time.Millisecond)
	if !p.store.requests.take(1) {
		reply(w, 429, errorText("too many requests"))
		return
	}
	status, answer := p.dispatch(r, body)
	reply(w, status, answer)
}

// dispatch answers a request.
func (p *statePort) dispatch(r *http.Request, body []byte) (int, any) {
	s, q := p.store, r.URL.Query()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/multi" && r.Method == http.MethodPost:
		return s.serveTransaction(body)
	case r.URL.Path == "/changes":
		return s.serveWatch(r)
	case r.URL.Path == "/store":
		most, _ := strconv.Atoi(q.Get("most"))
		return s.list(q.Get("starts"), q.Get("from"), most)
	case parts[0] == "store":
		return s.get(strings.TrimPrefix(r.URL.Path, "/store/"))
	case parts[0] == "leases":
		return p.serveLease(parts, r.Method, body)
	}
	return 404, errorText("no such path")
}

// serveLease answers the requests about leases.
func (p *statePort) serveLease(parts []string, method string, body []byte) (int, any) {
	if len(parts) == 1 {
		var q struct {
			LifeMS int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &q) != nil || q.LifeMS < 100 || q.LifeMS > 600_000 {
			return 400, errorText("malformed")
		}
		return p.store.grant(time.Duration(q.LifeMS) * time.Millisecond)
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	if method == http.MethodDelete {
		return p.store.end(id)
	}
	return p.store.renew(id)
}
