package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// answered is what users were told of a job.
type answered struct {
	accepted time.Time // when it was first told as accepted
	final    string    // "done"
	finalAt  time.Time
}

// told checks an answer about a job that was asked for at a time.
func (w *world) told(id string, asked time.Time, status int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.answers[id]
	if a == nil {
		a = &answered{}
		w.answers[id] = a
	}
	refused := status == 404 || status == 400 || status == 422
	if refused && !a.accepted.IsZero() && asked.After(a.accepted) {
		w.violate("forgotten %s: %d", id, status)
	}
	if status == 200 || status == 201 {
		w.toldState(id, a, asked, state)
	}
}

// toldState checks the state of a job that a user was told. w.mu is held.
func (w *world) toldState(id string, a *answered, asked time.Time, state string) {
	now, s := time.Now(), w.specs[id]
	if s == nil {
		w.violate("invented %s: %s", id, state)
		return
	}
	if a.accepted.IsZero() {
		a.accepted = now
	}
	if a.final != "" && state != a.final && asked.After(a.finalAt) {
		w.violate("went_back %s: %s after %s", id, state, a.final)
	}
	if state == "aborted" {
		w.violate("went_back %s: aborted, and nobody cancelled it", id)
	}
	if state == "done" && a.final == "" {
		a.final, a.finalAt = state, now
		w.checkDone(s)
	}
}

// checkDone checks a job that was told as done. w.mu is held.
func (w *world) checkDone(s *spec) {
	for i := range s.Pieces {
		if !w.done[pieceName(s.ID, i)] {
			w.violate("not_done %s: task %d is not", s.ID, i)
			return
		}
	}
}

// users are the users of the service. They reach it as through the load balancer: at any healthy node.
type users struct {
	world  *world
	fleet  *fleet
	client *http.Client
}

func newUsers(w *world, f *fleet) *users {
	return &users{w, f, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// ask sends a request to a node and returns the status and the state in its answer; status 0 is no answer.
func (u *users) ask(node int, method, path string, body []byte, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + u.fleet.members[node].bind + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := u.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var a struct {
		Status string `json:"status"`
	}
	_ = json.Unmarshal(text, &a) // an answer without a state has none
	return response.StatusCode, a.Status
}

// pick returns a healthy node, or any if none is known to be.
func (u *users) pick() int {
	healthy := u.fleet.healthyNodes()
	if len(healthy) == 0 {
		return rand.IntN(len(u.fleet.members))
	}
	return healthy[rand.IntN(len(healthy))]
}

// submit hands in a job, again for up to a minute, and reports whether it was accepted.
func (u *users) submit(s *spec) bool {
	u.world.upload(s)
	body, err := json.Marshal(s)
	if err != nil {
		return false
	}
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && !u.fleet.closed(); {
		node, asked := u.pick(), time.Now()
		status, state := u.ask(node, http.MethodPost, "/api/jobs", body, 5*time.Second)
		u.world.rec.line("user", "submit %s at %d: %d %s", s.ID, node, status, state)
		u.world.told(s.ID, asked, status, state)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job at a node.
func (u *users) poll(node int, id string) (int, string) {
	asked := time.Now()
	status, state := u.ask(node, http.MethodGet, "/api/jobs/"+id, nil, 2*time.Second)
	u.world.rec.line("user", "poll %s at %d: %d %s", id, node, status, state)
	u.world.told(id, asked, status, state)
	return status, state
}

// follow polls a job until it is final or the end of the run.
func (u *users) follow(id string) {
	for !u.fleet.closed() {
		if _, state := u.poll(u.pick(), id); state == "done" || state == "aborted" {
			return
		}
		time.Sleep(seconds(4 + 2*rand.Float64()))
	}
}
