// Package deadline implements the rules for galleries, groups of jobs with one promised completion date each: it
// parses the operators' register (Register, Parse), derives the state of a gallery (Evaluate) and finds the dates
// that can't be met (Overcommitted). docs/promises.md explains the rules. Package deadlinetracker applies them to
// the records.
//
// The package does no I/O, takes the current time as a parameter and uses no locks. A Register is immutable once
// it is parsed.
package deadline

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"maddermill/internal/scheduler/deadline/promisepb"
	"maddermill/internal/settings/configfile"
	"maddermill/wire"
)

const (
	// DefaultMargin is the margin if the register does not set one.
	DefaultMargin = time.Minute
	// maxMarginSeconds is the largest margin that a register may set.
	maxMarginSeconds = 1e6
	// maxGalleries bounds the galleries of a register.
	maxGalleries = 20_000
)

// Entry is a gallery's entry in the register.
type Entry struct {
	Name     wire.GalleryName
	Team     wire.Team
	Promised time.Time // the promised date
	Why      string    // the operators' reason for the date, for the records

	// The jobs of the gallery are selected by ID, by workflow and by class.
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
	Classes   []wire.Class

	Complete bool // no more jobs will come
}

// Register is a validated register of galleries. It is immutable. A nil Register is valid and empty.
type Register struct {
	Revision int
	Margin   time.Duration // the slack below which a gallery is at risk
	Entries  []Entry       // in the order of the file

	byName     map[wire.GalleryName]*Entry
	byJob      map[wire.JobID]*Entry
	byWorkflow map[wire.WorkflowID]*Entry
	byClass    map[teamClass][]*Entry
}

// teamClass identifies a job class within a team.
type teamClass struct {
	team  wire.Team
	class wire.Class
}

// registerParser converts the protobuf message of a register to a Register and collects all errors.
type registerParser struct {
	register *Register
	teams    []wire.Team // empty: any team is accepted
	errs     []error
}

// addError adds an error about a field of a node; a nil node stands for the whole file.
func (p *registerParser) addError(node *ast.Node, field, format string, args ...any) {
	p.errs = append(p.errs, configfile.FieldError(node, field, format, args...))
}

// Parse parses and validates a register in protobuf text format. teams are those of the cluster's settings; if it
// is empty, any team is accepted. The error joins all mistakes, each with its line.
func Parse(text []byte, teams []wire.Team) (*Register, error) {
	var message promisepb.Register
	if err := prototext.Unmarshal(text, &message); err != nil {
		return nil, err
	}
	nodes, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	p := &registerParser{
		teams: teams,
		register: &Register{
			Revision:   int(message.GetRevision()),
			Margin:     DefaultMargin,
			Entries:    make([]Entry, len(message.Gallery)),
			byName:     map[wire.GalleryName]*Entry{},
			byJob:      map[wire.JobID]*Entry{},
			byWorkflow: map[wire.WorkflowID]*Entry{},
			byClass:    map[teamClass][]*Entry{},
		},
	}
	p.parseHeader(&message)
	galleryNodes := configfile.Fields(nodes, "gallery")
	for i, gallery := range message.Gallery {
		var node *ast.Node
		if len(galleryNodes) == len(message.Gallery) {
			node = galleryNodes[i]
		}
		p.parseGallery(&p.register.Entries[i], gallery, node)
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.register, nil
}

// parseHeader reads the fields that apply to the whole register.
func (p *registerParser) parseHeader(message *promisepb.Register) {
	if message.Revision == nil || message.GetRevision() == 0 {
		p.addError(nil, "revision", "is required and must be greater than 0")
	}
	if message.MarginS != nil {
		seconds := message.GetMarginS()
		p.register.Margin = wire.Seconds(seconds).Duration()
		if seconds < 0 || seconds > maxMarginSeconds {
			p.addError(nil, "margin_s", "must be from 0 to 1e6 seconds")
		}
	}
	if n := len(message.Gallery); n > maxGalleries {
		p.addError(nil, "gallery", "%d galleries exceed the limit of %d", n, maxGalleries)
	}
}

// parseGallery fills in an entry from the message of a gallery. node is its position in the file.
func (p *registerParser) parseGallery(entry *Entry, gallery *promisepb.Gallery, node *ast.Node) {
	*entry = Entry{
		Name:     wire.GalleryName(gallery.GetName()),
		Team:     wire.Team(gallery.GetTeam()),
		Why:      gallery.GetWhy(),
		Complete: gallery.GetComplete(),
	}
	if !entry.Name.Valid() {
		p.addError(node, "name", "%q must be 1 to 64 letters, digits, dots, dashes or underscores", entry.Name)
	} else if p.register.byName[entry.Name] != nil {
		p.addError(node, "name", "duplicate gallery name %q", entry.Name)
	}
	p.register.byName[entry.Name] = entry
	if entry.Team == "" || len(p.teams) > 0 && !slices.Contains(p.teams, entry.Team) {
		p.addError(node, "team", "unknown team %q", entry.Team)
	}
	var err error
	if entry.Promised, err = time.Parse(time.RFC3339, gallery.GetPromised()); err != nil {
		p.addError(node, "promised", "%q is not an RFC 3339 time such as 2026-12-05T18:00:00Z", gallery.GetPromised())
	}
	if len(gallery.Job)+len(gallery.Workflow)+len(gallery.Class) == 0 {
		p.addError(node, "gallery", "%q lists no job, workflow or class", entry.Name)
	}
	p.parseJobs(entry, gallery.Job, node)
	p.parseWorkflows(entry, gallery.Workflow, node)
	p.parseClasses(entry, gallery.Class, node)
}

// parseJobs adds the jobs that an entry lists by ID. A job may be listed in one gallery only.
func (p *registerParser) parseJobs(entry *Entry, ids []string, node *ast.Node) {
	for _, text := range ids {
		id := wire.JobID(text)
		if !id.Valid() {
			p.addError(node, "job", "%q is not a valid job ID", text)
		} else if other := p.register.byJob[id]; other != nil {
			p.addError(node, "job", "%s is already listed in gallery %q", text, other.Name)
		}
		entry.Jobs = append(entry.Jobs, id)
		p.register.byJob[id] = entry
	}
}

// parseWorkflows adds the workflows of an entry. A workflow may be listed in one gallery only.
func (p *registerParser) parseWorkflows(entry *Entry, ids []string, node *ast.Node) {
	for _, text := range ids {
		id := wire.WorkflowID(text)
		if text == "" {
			p.addError(node, "workflow", "must not be empty")
		} else if other := p.register.byWorkflow[id]; other != nil {
			p.addError(node, "workflow", "%s is already listed in gallery %q", text, other.Name)
		}
		entry.Workflows = append(entry.Workflows, id)
		p.register.byWorkflow[id] = entry
	}
}

// parseClasses adds the job classes of an entry. A class may be listed in several galleries.
func (p *registerParser) parseClasses(entry *Entry, names []string, node *ast.Node) {
	for _, name := range names {
		if name == "" {
			p.addError(node, "class", "must not be empty")
		}
		key := teamClass{team: entry.Team, class: wire.Class(name)}
		entry.Classes = append(entry.Classes, key.class)
		p.register.byClass[key] = append(p.register.byClass[key], entry)
	}
}

// Entry returns a gallery's entry, or nil if it is not registered.
func (r *Register) Entry(name wire.GalleryName) *Entry {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// GalleriesOf returns the galleries that a job may be assigned to, in the order of preference: the one that lists
// the job's ID, the one that lists its workflow, and the one that lists its class if no other gallery does.
// Galleries of other teams are left out. workflow is empty if the job belongs to none.
func (r *Register) GalleriesOf(spec *wire.JobSpec, workflow wire.WorkflowID) []wire.GalleryName {
	if r == nil {
		return nil
	}
	var names []wire.GalleryName
	add := func(entry *Entry) {
		if entry != nil && entry.Team == spec.Team && !slices.Contains(names, entry.Name) {
			names = append(names, entry.Name)
		}
	}
	add(r.byJob[spec.ID])
	if workflow != "" {
		add(r.byWorkflow[workflow])
	}
	if ofClass := r.byClass[teamClass{team: spec.Team, class: spec.Class}]; len(ofClass) == 1 {
		add(ofClass[0])
	}
	return names
}

// String returns a one-line summary of the register.
func (r *Register) String() string {
	jobs, workflows, classes := 0, 0, 0
	for i := range r.Entries {
		entry := &r.Entries[i]
		jobs += len(entry.Jobs)
		workflows += len(entry.Workflows)
		classes += len(entry.Classes)
	}
	return fmt.Sprintf("revision %d: %d galleries with %d jobs, %d workflows and %d classes",
		r.Revision, len(r.Entries), jobs, workflows, classes)
}
