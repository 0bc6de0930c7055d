// Package supervise runs the long-running components of a process.
//
// Each part of the process adds its components to a [Group]: a name, a function that runs until its
// context ends, and perhaps a health check. [Group.Run] starts all of them and ends all when one
// fails. [Group.Status] reports how each is, for the status API and metrics.
//
// A Group has one lock, which is not held while a component or a health check runs.
package supervise

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Component is a long-running loop. One that has nothing to do by its settings may end at once without
// an error, which leaves the others running.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
	// Amiss returns the component's health problem in a few words; "": none. It may be called at
	// any time and must not block. nil: the component has no health check.
	HealthProblem func(now time.Time) string
}

// Status is the state of a component.
type Status struct {
	Name          string    `json:"name"`
	Running       bool      `json:"running"`
	Since         time.Time `json:"since"`           // when it started or ended; zero: it was not started
	HealthProblem string    `json:"amiss,omitempty"` // its health problem; "": none
}

// Group is the components of a process, in the order in which they were added. Its zero value is
// empty and ready to use.
type Group struct {
	mu      sync.Mutex // guards entries and their mutable fields
	entries []*entry
}

// entry is a component with its state.
type entry struct {
	Component
	running bool
	since   time.Time
	err     error // that it ended with; nil: none
}

// Add adds components, before Run. It panics if a name is added twice.
func (g *Group) Add(components ...Component) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, component := range components {
		if slices.ContainsFunc(g.entries, func(o *entry) bool { return o.Name == component.Name }) {
			panic("supervise: component " + component.Name + " is added twice")
		}
		g.entries = append(g.entries, &entry{Component: component})
	}
}

// Run starts all components and waits until all have ended: when ctx ends, or when one of them fails. The
// error names the first that failed.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range g.snapshot() {
		g.setState(e, true, nil)
		group.Go(func() error {
			err := e.Run(ctx)
			g.setState(e, false, err)
			if err != nil {
				return fmt.Errorf("%s: %w", e.Name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// snapshot returns the entries as they are now.
func (g *Group) snapshot() []*entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.entries)
}

// setState records that a component has started or ended.
func (g *Group) setState(e *entry, running bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.running, e.since, e.err = running, time.Now(), err
}

// Status returns the state of each component.
func (g *Group) Status(now time.Time) []Status {
	out := []Status{}
	for _, e := range g.snapshot() {
		g.mu.Lock()
		s, err := Status{Name: e.Name, Running: e.running, Since: e.since}, e.err
		g.mu.Unlock()
		switch {
		case s.Running && e.HealthProblem != nil:
			s.HealthProblem = e.HealthProblem(now)
		case !s.Running && s.Since.IsZero():
			s.HealthProblem = "not started"
		case err != nil:
			s.HealthProblem = "ended: " + err.Error()
		}
		out = append(out, s)
	}
	return out
}
