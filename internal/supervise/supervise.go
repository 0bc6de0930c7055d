// Package supervise runs the long-running components of a process.
//
// Each part of the process adds its components to a [Group]: a name, a function that runs until its
// context ends, and optionally a health check. [Group.Run] starts all components and stops them all when
// one fails. [Group.Status] reports the state of each for the status API and metrics.
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

// Component is a long-running function. A component that is disabled by the settings may return nil at
// once, which does not stop the others.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
	// HealthProblem describes the component's current health problem in a few words; "": none. It may be
	// called concurrently with Run and must not block. It is nil if the component has no health check.
	HealthProblem func(now time.Time) string
}

// Status is the state of a component.
type Status struct {
	Name          string    `json:"name"`
	Running       bool      `json:"running"`
	Since         time.Time `json:"since"`           // when it started or ended; zero: not started
	HealthProblem string    `json:"amiss,omitempty"` // its health problem; "": none
}

// Group holds the components of a process in the order in which they were added. The zero value is an
// empty group, ready to use.
type Group struct {
	mu      sync.Mutex // guards entries and their mutable fields
	entries []*entry
}

// entry is a component with its run state.
type entry struct {
	Component
	running bool
	since   time.Time
	err     error // result of Run; nil while running or after success
}

// Add adds components. It must be called before Run and panics if a name is already in the group.
func (g *Group) Add(components ...Component) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, component := range components {
		if slices.ContainsFunc(g.entries, func(other *entry) bool { return other.Name == component.Name }) {
			panic("supervise: component " + component.Name + " is added twice")
		}
		g.entries = append(g.entries, &entry{Component: component})
	}
}

// Run starts all components and waits for all to return. When one fails, the context of the others is
// cancelled. The error is that of the first component that failed, with its name.
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

// snapshot returns a copy of the list of entries.
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

// Status returns the state of each component, and of running ones the health problem at a time.
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
