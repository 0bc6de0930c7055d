// Package supervise runs what a process does all the time. A part of the process registers each of
// its duties with a name, a function that ends when its context does, and perhaps one that tells
// what is amiss.
package supervise

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Component is something done all the time. One that its settings leave nothing to do may end without
// an error at once.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
	// Amiss tells in a few words what keeps the duty from being done now; "": nothing. It may
	// be asked at any time and must not wait. nil: nothing ever does.
	Amiss func(now time.Time) string
}

// Status is how a duty fares.
type Status struct {
	Name    string    `json:"name"`
	Running bool      `json:"running"`
	Since   time.Time `json:"since"` // it runs, or has ended; zero: it is yet to be started
	Amiss   string    `json:"amiss,omitempty"`
}

// Group is the duties of a process, in the order in which they were added.
type Group struct {
	mu   sync.Mutex
	list []*entry
}

// entry is a duty and how it fares.
type entry struct {
	Component
	running bool
	since   time.Time
	err     error // that it ended with
}

// Add registers duties, before Run. Names are unique.
func (g *Group) Add(duties ...Component) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range duties {
		if slices.ContainsFunc(g.list, func(o *entry) bool { return o.Name == d.Name }) {
			panic("duty: " + d.Name + " is registered twice")
		}
		g.list = append(g.list, &entry{Component: d})
	}
}

// Run starts all duties and waits until all have ended, which they do when ctx does or when one
// of them fails. The error names the first that failed.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range g.entries() {
		g.set(e, true, nil)
		group.Go(func() error {
			err := e.Run(ctx)
			g.set(e, false, err)
			if err != nil {
				return fmt.Errorf("%s: %w", e.Name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (g *Group) entries() []*entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.list)
}

func (g *Group) set(e *entry, running bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.running, e.since, e.err = running, time.Now(), err
}

// Status tells how each duty fares.
func (g *Group) Status(now time.Time) []Status {
	out := []Status{}
	for _, e := range g.entries() {
		g.mu.Lock()
		s, err := Status{Name: e.Name, Running: e.running, Since: e.since}, e.err
		g.mu.Unlock()
		switch {
		case s.Running && e.Amiss != nil:
			s.Amiss = e.Amiss(now)
		case !s.Running && s.Since.IsZero():
			s.Amiss = "not started"
		case err != nil:
			s.Amiss = "ended: " + err.Error()
		}
		out = append(out, s)
	}
	return out
}
