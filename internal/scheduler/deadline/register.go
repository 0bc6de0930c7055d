// Package deadline knows of galleries, work with one promised date each: the operators' register,
// when a promise is at risk, kept or broken, and what is promised beyond what the fleet can do.
// It does no I/O and is told the time. docs/promises.md tells why it is so.
package deadline

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/scheduler/deadline/promisepb"
	"maddermill/internal/settings/configfile"
	"maddermill/wire"
)

// Entry is a gallery as it is registered.
type Entry struct {
	Name      wire.GalleryName
	Team      wire.Team
	Promised  time.Time
	Why       string
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
	Classes   []wire.Class
	Complete  bool
}

// Register is a checked register. It doesn't change. The zero register names nothing.
type Register struct {
	Revision int
	Margin   time.Duration
	Entries  []Entry // by name

	byName  map[wire.GalleryName]*Entry
	byJob   map[wire.JobID]*Entry
	byFlow  map[wire.WorkflowID]*Entry
	byClass map[classOf][]*Entry
}

type classOf struct {
	team  wire.Team
	class wire.Class
}

const (
	defaultMargin = time.Minute
	mostGalleries = 20_000
)

// Parse reads and checks a register in protobuf text format. teams are the platform's; with none
// given any team is taken. All that is wrong is told at once, each with its line.
func Parse(text []byte, teams []wire.Team) (*Register, error) {
	var m promisepb.Register
	if err := prototext.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	r := &Register{
		Revision: int(m.GetRevision()),
		Margin:   defaultMargin,
		byName:   map[wire.GalleryName]*Entry{},
		byJob:    map[wire.JobID]*Entry{},
		byFlow:   map[wire.WorkflowID]*Entry{},
		byClass:  map[classOf][]*Entry{},
	}
	var errs []error
	fail := func(n *ast.Node, field, format string, args ...any) {
		errs = append(errs, configfile.FieldError(n, field, format, args...))
	}
	if m.Revision == nil || m.GetRevision() == 0 {
		fail(nil, "revision", "must be given, above 0")
	}
	if m.MarginS != nil {
		if r.Margin = wire.Seconds(m.GetMarginS()).Duration(); m.GetMarginS() < 0 || m.GetMarginS() > 1e6 {
			fail(nil, "margin_s", "must be 0 to 1e6 seconds")
		}
	}
	if len(m.Gallery) > mostGalleries {
		fail(nil, "gallery", "%d of them; %d at most", len(m.Gallery), mostGalleries)
	}
	at := configfile.Fields(nodes, "gallery")
	r.Entries = make([]Entry, len(m.Gallery))
	for i, g := range m.Gallery {
		var n *ast.Node
		if len(at) == len(m.Gallery) {
			n = at[i]
		}
		e := &r.Entries[i]
		*e = Entry{
			Name:     wire.GalleryName(g.GetName()),
			Team:     wire.Team(g.GetTeam()),
			Why:      g.GetWhy(),
			Complete: g.GetComplete(),
		}
		if !e.Name.Valid() {
			fail(n, "name", "%q is not 1 to 64 letters, digits, dots, dashes and underscores", e.Name)
		} else if r.byName[e.Name] != nil {
			fail(n, "name", "%q is given twice", e.Name)
		}
		r.byName[e.Name] = e
		if e.Team == "" || len(teams) > 0 && !slices.Contains(teams, e.Team) {
			fail(n, "team", "%q is no team", e.Team)
		}
		var err error
		if e.Promised, err = time.Parse(time.RFC3339, g.GetPromised()); err != nil {
			fail(n, "promised", "%q is not a time as 2026-12-05T18:00:00Z", g.GetPromised())
		}
		if len(g.Job)+len(g.Workflow)+len(g.Class) == 0 {
			fail(n, "gallery", "%q has neither job, workflow nor class", e.Name)
		}
		for _, id := range g.Job {
			j := wire.JobID(id)
			if !j.Valid() {
				fail(n, "job", "%q is not an id of a job", id)
			} else if o := r.byJob[j]; o != nil {
				fail(n, "job", "%s is of %q, too", id, o.Name)
			}
			e.Jobs, r.byJob[j] = append(e.Jobs, j), e
		}
		for _, id := range g.Workflow {
			f := wire.WorkflowID(id)
			if id == "" {
				fail(n, "workflow", "is empty")
			} else if o := r.byFlow[f]; o != nil {
				fail(n, "workflow", "%s is of %q, too", id, o.Name)
			}
			e.Workflows, r.byFlow[f] = append(e.Workflows, f), e
		}
		for _, c := range g.Class {
			if c == "" {
				fail(n, "class", "is empty")
			}
			k := classOf{e.Team, wire.Class(c)}
			e.Classes, r.byClass[k] = append(e.Classes, wire.Class(c)), append(r.byClass[k], e)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return r, nil
}

// Entry returns a gallery as registered, or nil.
func (r *Register) Entry(n wire.GalleryName) *Entry {
	if r == nil {
		return nil
	}
	return r.byName[n]
}

// GalleriesOf names the galleries that a job may be tied to, the best first: by its id, by its workflow,
// by its class if that is clear. One of another team is none.
func (r *Register) GalleriesOf(s *wire.JobSpec, flow wire.WorkflowID) []wire.GalleryName {
	if r == nil {
		return nil
	}
	var out []wire.GalleryName
	add := func(e *Entry) {
		if e != nil && e.Team == s.Team && !slices.Contains(out, e.Name) {
			out = append(out, e.Name)
		}
	}
	add(r.byJob[s.ID])
	if flow != "" {
		add(r.byFlow[flow])
	}
	if of := r.byClass[classOf{s.Team, s.Class}]; len(of) == 1 {
		add(of[0])
	}
	return out
}

// String is a line of what there is.
func (r *Register) String() string {
	jobs, flows, classes := 0, 0, 0
	for i := range r.Entries {
		e := &r.Entries[i]
		jobs, flows, classes = jobs+len(e.Jobs), flows+len(e.Workflows), classes+len(e.Classes)
	}
	return strings.TrimSpace(
		fmt.Sprintf(
			"revision %d: %d galleries with %d jobs, %d workflows and %d classes",
			r.Revision,
			len(r.Entries),
			jobs,
			flows,
			classes,
		),
	)
}
