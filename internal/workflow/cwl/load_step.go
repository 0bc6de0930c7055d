package cwl

import (
	"fmt"
	"slices"

	"go.yaml.in/yaml/v4"
)

// readStep parses a step of a workflow and the process that it runs. version is the workflow's
// cwlVersion; outer lists the enclosing processes. It returns nil if the process can't be
// parsed.
func (l *loader) readStep(id string, at location, workflow *Process, version string, outer []string) *Step {
	f := l.fields(
		at,
		"id", "label", "doc", "in", "out", "run", "when", "scatter", "scatterMethod", "requirements", "hints",
	)
	s := &Step{ID: id, Requirements: workflow.Requirements, where: at}
	l.readRequirements(&s.Requirements, f["requirements"], true)
	l.readRequirements(&s.Requirements, f["hints"], false)
	l.forEachNamed(f["in"], "id", "source", func(inputID string, x location) {
		s.In = append(s.In, l.readStepInput(inputID, workflow.ID, x))
	})
	if out, ok := f["out"]; ok {
		s.Out = l.readStepOutputs(out)
	} else {
		l.errorf(at, "out is missing")
	}
	if when, ok := f["when"]; ok && !isNull(when.node) {
		s.When = l.readString(when)
	}
	for _, input := range l.readStrings(f["scatter"]) {
		s.Scatter = append(s.Scatter, localName(input))
	}
	s.ScatterMethod = l.readOneOf(f["scatterMethod"], DotProduct, NestedCrossProduct, FlatCrossProduct)
	if len(s.Scatter) > 1 && s.ScatterMethod == "" {
		l.errorf(
			at,
			"scatterMethod is missing; with several inputs expected one of %s, %s, %s",
			DotProduct, NestedCrossProduct, FlatCrossProduct,
		)
	}
	run, ok := f["run"]
	if !ok {
		l.errorf(at, "run is missing")
		return nil
	}
	if s.Run = l.readStepProcess(run, s.Requirements, version, outer); s.Run == nil {
		return nil
	}
	return s
}

// readStepInput parses an input of a step in the workflow with the given id.
func (l *loader) readStepInput(id, workflowID string, at location) StepInput {
	f := l.fields(
		at,
		"id", "label", "source", "linkMerge", "pickValue", "default", "valueFrom", "loadContents", "loadListing",
	)
	in := StepInput{
		ID:           id,
		where:        at,
		LinkMerge:    l.readOneOf(f["linkMerge"], MergeNested, MergeFlattened),
		PickValue:    l.readOneOf(f["pickValue"], PickFirst, PickOnly, PickAll),
		LoadContents: l.readBool(f["loadContents"], false),
	}
	if source, ok := f["source"]; ok {
		in.SourceIsList = source.node.Kind == yaml.SequenceNode
		for _, text := range l.readStrings(source) {
			in.Source = append(in.Source, sourceName(text, workflowID))
		}
	}
	if x, ok := f["default"]; ok {
		in.Default = decodeValue(x.node)
	}
	if x, ok := f["valueFrom"]; ok {
		in.ValueFrom = x.node.Value
	}
	return in
}

// readStepOutputs reads the names of the outputs that a step lists, each a string or a mapping
// with an id.
func (l *loader) readStepOutputs(out location) []string {
	if out.node.Kind != yaml.SequenceNode {
		l.errorf(out, "expected a list of outputs, found %s", describeNode(out.node))
		return nil
	}
	var names []string
	for i, node := range out.node.Content {
		if node.Kind == yaml.MappingNode {
			names = append(names, idOf(node))
		} else {
			names = append(names, localName(l.readString(out.in(fmt.Sprintf("[%d]", i), node))))
		}
	}
	return names
}

// readStepProcess parses the process that a step runs: the value of the run field, or the
// process that the field refers to. It returns nil if the process can't be parsed.
func (l *loader) readStepProcess(run location, inherited Requirements, version string, outer []string) *Process {
	if run.node.Kind == yaml.MappingNode {
		position := fmt.Sprintf("%s#%d:%d", run.file, run.node.Line, run.node.Column)
		return l.readProcess(run, version, inherited, append(slices.Clone(outer), position))
	}
	file, fragment, err := resolveRef(run.file, l.readString(run))
	if err != nil {
		l.errorf(run, "%v", err)
		return nil
	}
	return l.loadProcess(run, file, fragment, inherited, slices.Clone(outer))
}
