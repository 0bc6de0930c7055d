// Package deadline is the pure core of galleries, work with one promised date each: the operators' register
// (Register, Parse), the state of a gallery (Evaluate), and which dates can't all be met (Overcommitted).
// docs/promises.md has the reasons for its rules. Package deadlinetracker applies it to the records.
//
// It does no I/O, is given the time, and holds no locks; a Register doesn't change once it is parsed.
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
	// DefaultMargin is the margin of a register that gives none.
	DefaultMargin = time.Minute
	// maxMarginSeconds is the largest margin that a register may give.
	maxMarginSeconds = 1e6
	// maxGalleries is how many galleries a register may have.
	maxGalleries = 20_000
)

// Entry is a gallery as it is registered.
type Entry struct {
	Name     wire.GalleryName
	Team     wire.Team
	Promised time.Time // the date
	Why      string    // the operators' reason for the date, for the records

	// What belongs to the gallery: jobs by ID, by workflow, and by class.
	Jobs      []wire.JobID
	Workflows []wire.WorkflowID
	Classes   []wire.Class

	Complete bool // no more jobs will come
}

// Register is a checked register. It doesn't change. A nil register names nothing.
type Register struct {
	Revision int
	Margin   time.Duration // the slack below which a gallery is at risk
	Entries  []Entry       // in the order of the file

	byName     map[wire.GalleryName]*Entry
	byJob      map[wire.JobID]*Entry
	byWorkflow map[wire.WorkflowID]*Entry
	byClass    map[teamClass][]*Entry
}

// teamClass is a class of a team's jobs.
type teamClass struct {
	team  wire.Team
	class wire.Class
}

// registerParser turns the message of a register into a Register and collects what is wrong with it.
type registerParser struct {
	register *Register
	teams    []wire.Team // empty: any team is taken
	errs     []error
}

// fail adds an error about a field of a node; nil: of the whole file.
func (p *registerParser) fail(node *ast.Node, field, format string, args ...any) {
	p.errs = append(p.errs, configfile.FieldError(node, field, format, args...))
}

// Parse reads and checks a register in protobuf text format. teams are those of the cluster's settings; with
// none given any team is taken. The error joins everything that is wrong, each with its line.
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

// parseHeader takes what the register says of itself.
func (p *registerParser) parseHeader(message *promisepb.Register) {
	if message.Revision == nil || message.GetRevision() == 0 {
		p.fail(nil, "revision", "must be given, above 0")
	}
	if message.MarginS != nil {
		seconds := message.GetMarginS()
		p.register.Margin = wire.Seconds(seconds).Duration()
		if seconds < 0 || seconds > maxMarginSeconds {
			p.fail(nil, "margin_s", "must be 0 to 1e6 seconds")
		}
	}
	if n := len(message.Gallery); n > maxGalleries {
		p.fail(nil, "gallery", "%d of them; %d at most", n, maxGalleries)
	}
}

// parseGallery fills in an entry from a gallery at a node of the file.
func (p *registerParser) parseGallery(entry *Entry, gallery *promisepb.Gallery, node *ast.Node) {
	*entry = Entry{
		Name:     wire.GalleryName(gallery.GetName()),
		Team:     wire.Team(gallery.GetTeam()),
		Why:      gallery.GetWhy(),
		Complete: gallery.GetComplete(),
	}
	if !entry.Name.Valid() {
		p.fail(node, "name", "%q is not 1 to 64 letters, digits, dots, dashes and underscores", entry.Name)
	} else if p.register.byName[entry.Name] != nil {
		p.fail(node, "name", "%q is given twice", entry.Name)
	}
	p.register.byName[entry.Name] = entry
	if entry.Team == "" || len(p.teams) > 0 && !slices.Contains(p.teams, entry.Team) {
		p.fail(node, "team", "%q is no team", entry.Team)
	}
	var err error
	if entry.Promised, err = time.Parse(time.RFC3339, gallery.GetPromised()); err != nil {
		p.fail(node, "promised", "%q is not a time as 2026-12-05T18:00:00Z", gallery.GetPromised())
	}
	if len(gallery.Job)+len(gallery.Workflow)+len(gallery.Class) == 0 {
		p.fail(node, "gallery", "%q has neither job, workflow nor class", entry.Name)
	}
	p.parseJobs(entry, gallery.Job, node)
	p.parseWorkflows(entry, gallery.Workflow, node)
	p.parseClasses(entry, gallery.Class, node)
}

// parseJobs adds the jobs of an entry, each of which is of one gallery only.
func (p *registerParser) parseJobs(entry *Entry, ids []string, node *ast.Node) {
	for _, text := range ids {
		id := wire.JobID(text)
		if !id.Valid() {
			p.fail(node, "job", "%q is not an id of a job", text)
		} else if other := p.register.byJob[id]; other != nil {
			p.fail(node, "job", "%s is of %q, too", text, other.Name)
		}
		entry.Jobs = append(entry.Jobs, id)
		p.register.byJob[id] = entry
	}
}

// parseWorkflows adds the workflows of an entry, each of which is of one gallery only.
func (p *registerParser) parseWorkflows(entry *Entry, ids []string, node *ast.Node) {
	for _, text := range ids {
		id := wire.WorkflowID(text)
		if text == "" {
			p.fail(node, "workflow", "is empty")
		} else if other := p.register.byWorkflow[id]; other != nil {
			p.fail(node, "workflow", "%s is of %q, too", text, other.Name)
		}
		entry.Workflows = append(entry.Workflows, id)
		p.register.byWorkflow[id] = entry
	}
}

// parseClasses adds the classes of an entry, which may be of several galleries.
func (p *registerParser) parseClasses(entry *Entry, names []string, node *ast.Node) {
	for _, name := range names {
		if name == "" {
			p.fail(node, "class", "is empty")
		}
		key := teamClass{team: entry.Team, class: wire.Class(name)}
		entry.Classes = append(entry.Classes, key.class)
		p.register.byClass[key] = append(p.register.byClass[key], entry)
	}
}

// Entry returns a gallery as registered, or nil.
func (r *Register) Entry(name wire.GalleryName) *Entry {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// GalleriesOf returns the galleries that a job, perhaps of a workflow, may be assigned to, the best first: by
// the job's ID, by its workflow, and by its class if only one gallery has that. Galleries of other teams are
// left out.
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

// String returns the revision and how much the register has, in a line.
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
