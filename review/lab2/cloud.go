package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flavor is a machine type as GET /flavors gives it.
type flavor struct {
	SKU          string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ram_gb"`
	LocalGB      float64  `json:"local_gb"`
	FetchRate    float64  `json:"fetch_gb_per_s"`
	Price        float64  `json:"price"`
	MarketPrice  float64  `json:"market_price"`
	StartupS     float64  `json:"startup_s"`
	Yards        []string `json:"yards"`
}

// rental is a rented machine.
type rental struct {
	machine *machine
	begun   time.Time
	up      time.Time
	gone    time.Time // zero while it is rented
}

// cloud is a stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud").
type cloud struct {
	site  *site
	world *world
	limit *bucket

	mu       sync.Mutex // guards the fields below
	rentals  []*rental
	hires    map[string][]string
	capacity map[string]int // machines that there are, by zone
	returned func(m *machine, tasks int)
}

func newCloud(s *site, w *world) *cloud {
	limit := newBucket(s.cloudRPS)
	limit.burst = 2 * s.cloudRPS
	return &cloud{site: s, world: w, limit: limit, hires: map[string][]string{}, capacity: map[string]int{}}
}

// rent adds a machine that is up after a time. c.mu is held.
func (c *cloud) rent(yard string, spot bool, boot time.Duration) string {
	id := fmt.Sprintf("host-%06d", 100+len(c.rentals))
	n := len(c.rentals)
	m := newMachine(c.world, id, yard, spot, fmt.Sprintf("127.0.%d.%d:9", 2+n/250, 1+n%250))
	now := time.Now()
	c.rentals = append(c.rentals, &rental{machine: m, begun: now, up: now.Add(boot)})
	time.AfterFunc(boot, func() { c.world.boot(m) })
	return id
}

// add puts up machines before the controllers start.
func (c *cloud) add(yard string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.rent(yard, false, 0)
	}
}

// rentedIn returns how many machines of a zone are rented. c.mu is held.
func (c *cloud) rentedIn(yard string) int {
	n := 0
	for _, r := range c.rentals {
		if r.gone.IsZero() && r.machine.yard == yard {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	time.Sleep(30 * time.Millisecond)
	if !c.limit.take(1) {
		reply(w, 429, errorText("too many requests"))
		return
	}
	switch r.URL.Path {
	case "/flavors":
		reply(w, 200, map[string]any{"builds": []flavor{c.site.flavor}})
	case "/machines/return":
		c.takeBack(w, body)
	case "/machines":
		if r.Method == http.MethodPost {
			c.hire(w, body)
			return
		}
		c.list(w, r)
	default:
		reply(w, 404, errorText("no such path"))
	}
}

// hire answers POST /machines.
func (c *cloud) hire(w http.ResponseWriter, body []byte) {
	var q struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.Unmarshal(body, &q) != nil || q.Hire == "" || q.Number < 1 || q.Number > 50 || q.Build != c.site.flavor.SKU ||
		!slices.Contains(c.site.flavor.Yards, q.Yard) {
		reply(w, 400, errorText("malformed"))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.hires[q.Hire]; ok {
		reply(w, 200, map[string]any{"millstones": ids})
		return
	}
	var ids []string
	for range q.Number {
		if c.rentedIn(q.Yard) < c.capacity[q.Yard] {
			ids = append(ids, c.rent(q.Yard, q.Loaners, seconds(c.site.flavor.StartupS)))
		}
	}
	c.world.rec.line("cloud", "hire %s yard=%s spot=%v number=%d got=%v", q.Hire, q.Yard, q.Loaners, q.Number, ids)
	if len(ids) == 0 {
		reply(w, 503, errorText("no capacity"))
		return
	}
	c.hires[q.Hire] = ids
	reply(w, 200, map[string]any{"millstones": ids})
}

// takeBack answers POST /machines/return.
func (c *cloud) takeBack(w http.ResponseWriter, body []byte) {
	var q struct {
		Millstones []string `json:"millstones"`
	}
	if json.Unmarshal(body, &q) != nil || len(q.Millstones) > 100 {
		reply(w, 400, errorText("malformed"))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rentals {
		if !r.gone.IsZero() || !slices.Contains(q.Millstones, r.machine.id) {
			continue
		}
		r.gone = time.Now()
		running := c.world.end(r.machine)
		c.world.rec.line("cloud", "returned %s with %d tasks", r.machine.id, running)
		if c.returned != nil {
			c.returned(r.machine, running)
		}
	}
	reply(w, 200, map[string]any{})
}

// list answers GET /machines, as things were some time ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	c.mu.Lock()
	defer c.mu.Unlock()
	then := time.Now().Add(-seconds(c.site.listLag))
	listed, more := []map[string]any{}, false
	for _, r := range c.rentals {
		m := r.machine
		if r.begun.After(then) || !r.gone.IsZero() && r.gone.Before(then) || strings.Compare(m.id, q.Get("from")) <= 0 {
			continue
		}
		if len(listed) == min(most, 500) {
			more = true
			break
		}
		status := "running"
		if r.up.After(then) {
			status = "starting"
		}
		listed = append(listed, map[string]any{"id": m.id, "endpoint": m.endpoint, "build": c.site.flavor.SKU,
			"yard": m.yard, "loaners": m.spot, "status": status, "age_s": then.Sub(r.begun).Seconds()})
	}
	reply(w, 200, map[string]any{"millstones": listed, "has_next": more})
}
