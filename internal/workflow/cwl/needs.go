package cwl

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// needs reads requirements, or hints, over those that already apply. A requirement that
// is not supported is a mistake; a hint that is not is passed over with a warning. What
// is hinted does not replace what is required.
func (l *loader) needs(n *Needs, at place, required bool) {
	if isNull(at.node) {
		return
	}
	switch at.node.Kind {
	case yaml.MappingNode:
		for _, e := range entries(at.node) {
			node := e.node
			if isNull(node) {
				node = emptyMapping(e.key)
			}
			l.applyRequirement(n, e.key.Value, at.in(e.key.Value, node), required)
		}
	case yaml.SequenceNode:
		for i, node := range at.node.Content {
			item := at.in(fmt.Sprintf("[%d]", i), node)
			class := l.textField(item, "class")
			if class == "" {
				l.fail(item, "class is missing")
				continue
			}
			l.applyRequirement(n, class, item, required)
		}
	default:
		l.fail(at, "expected a list or a mapping, found %s", kindOf(at.node))
	}
}

// applyRequirement reads one requirement, or hint, and applies it to n.
func (l *loader) applyRequirement(n *Needs, class string, at place, required bool) {
	apply := l.need(class, at, n, required)
	switch {
	case apply == nil && required:
		l.fail(at, "requirement %s is not supported", class)
	case apply == nil:
		l.warn(at, "hint %s is not supported and passed over", class)
	default:
		apply()
	}
}

// need returns what a requirement changes, nil if it isn't supported.
func (l *loader) need(class string, at place, n *Needs, required bool) func() {
	if i := strings.LastIndexAny(class, "#:"); i >= 0 {
		class = class[i+1:]
	}
	known := func(names ...string) map[string]place { return l.fields(at, append(names, "class")...) }
	if feature := n.feature(class); feature != nil {
		known()
		return func() { *feature = true }
	}
	switch class {
	case "InlineJavascriptRequirement":
		f := known("expressionLib")
		return func() { n.JavaScript = &JavaScript{Lib: l.texts(f["expressionLib"])} }
	case "SchemaDefRequirement":
		f := known("types")
		return func() { l.defineTypes(f["types"]) }
	case "DockerRequirement":
		f := known("dockerPull", "dockerLoad", "dockerFile", "dockerImport", "dockerImageId", "dockerOutputDirectory")
		return func() { l.setImage(n, f, required) }
	case "EnvVarRequirement":
		f := known("envDef")
		return func() { l.setEnv(n, f["envDef"]) }
	case "ResourceRequirement":
		f := known("coresMin", "coresMax", "ramMin", "ramMax", "tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax")
		return func() { n.Resources = l.resources(f) }
	case "CUDARequirement":
		f := known("cudaVersionMin", "cudaComputeCapability", "cudaDeviceCountMin", "cudaDeviceCountMax")
		return func() { n.Accelerator = l.accelerators(f) }
	case "ToolTimeLimit":
		f := known("timelimit")
		return func() { n.TimeLimit = l.scalar(f["timelimit"]) }
	case "WorkReuse":
		f := known("enableReuse")
		return func() { n.Reuse = valueOr(f, "enableReuse", "true") }
	case "NetworkAccess":
		f := known("networkAccess")
		return func() { n.Network = valueOr(f, "networkAccess", n.Network) }
	case "InitialWorkDirRequirement":
		f := known("listing")
		return func() { n.WorkDir = l.workDir(f["listing"].orSelf(at)) }
	}
	return nil
}

// feature returns the flag that a requirement without fields sets, nil for other requirements.
func (n *Needs) feature(class string) *bool {
	switch class {
	case "StepInputExpressionRequirement":
		return &n.StepInputs
	case "ScatterFeatureRequirement":
		return &n.Scatter
	case "SubworkflowFeatureRequirement":
		return &n.Subworkflow
	case "MultipleInputFeatureRequirement":
		return &n.MultiInput
	}
	return nil
}

// valueOr returns the text of a field as it is written, fallback if the field is missing.
func valueOr(f map[string]place, field, fallback string) string {
	if x, ok := f[field]; ok {
		return x.node.Value
	}
	return fallback
}

// setImage applies the fields of DockerRequirement. A hint does not replace an image that a
// requirement names.
func (l *loader) setImage(n *Needs, f map[string]place, required bool) {
	for _, field := range []string{"dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"} {
		if x, ok := f[field]; ok && required {
			l.fail(x, "is not supported; dockerPull or dockerImageId names the image that the machine must have")
		}
	}
	image := f["dockerPull"]
	if id, ok := f["dockerImageId"]; ok {
		image = id
	}
	if image.node == nil {
		return
	}
	if required || n.Image == "" || n.ImageHinted {
		n.Image, n.ImageHinted = l.text(image), !required
	}
}

// setEnv applies the definitions of EnvVarRequirement, over those of the same name. The
// slice that n had is shared with the process around it and is not changed.
func (l *loader) setEnv(n *Needs, definitions place) {
	l.named(definitions, "envName", "envValue", func(envName string, x place) {
		f := l.fields(x, "envName", "envValue")
		variable := EnvVar{Name: envName, Value: valueOr(f, "envValue", "")}
		n.Env = slices.Clone(n.Env)
		if i := slices.IndexFunc(n.Env, func(e EnvVar) bool { return e.Name == envName }); i >= 0 {
			n.Env[i] = variable
		} else {
			n.Env = append(n.Env, variable)
		}
	})
}

// resources reads the fields of ResourceRequirement.
func (l *loader) resources(f map[string]place) Resources {
	return Resources{
		CoresMin: l.scalar(f["coresMin"]),
		CoresMax: l.scalar(f["coresMax"]),
		RAMMin:   l.scalar(f["ramMin"]),
		RAMMax:   l.scalar(f["ramMax"]),
		TmpMin:   l.scalar(f["tmpdirMin"]),
		TmpMax:   l.scalar(f["tmpdirMax"]),
		OutMin:   l.scalar(f["outdirMin"]),
		OutMax:   l.scalar(f["outdirMax"]),
	}
}

// accelerators reads the number of accelerators of CUDARequirement, one if it is not stated.
func (l *loader) accelerators(f map[string]place) string {
	if count, ok := f["cudaDeviceCountMin"]; ok {
		return l.scalar(count)
	}
	return "1"
}

// workDir reads the listing of InitialWorkDirRequirement: an expression or a list of entries.
func (l *loader) workDir(at place) *WorkDir {
	if at.node.Kind == yaml.ScalarNode {
		return &WorkDir{Listing: l.text(at)}
	}
	w := &WorkDir{}
	if at.node.Kind != yaml.SequenceNode {
		l.fail(at, "expected an expression or a list, found %s", kindOf(at.node))
		return w
	}
	for i, node := range at.node.Content {
		x := at.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind == yaml.ScalarNode {
			w.Entries = append(w.Entries, Dirent{Entry: l.text(x)})
			continue
		}
		f := l.fields(x, "class", "entryname", "entry", "writable")
		entry := Dirent{Writable: l.boolean(f["writable"], false)}
		if e, ok := f["entry"]; ok {
			entry.Entry = l.text(e)
		} else {
			l.fail(x, "entry is missing")
		}
		if e, ok := f["entryname"]; ok {
			entry.Name = l.text(e)
		}
		w.Entries = append(w.Entries, entry)
	}
	return w
}

// defineTypes reads the named types of SchemaDefRequirement, for the file they stand in.
func (l *loader) defineTypes(at place) {
	if isNull(at.node) {
		return
	}
	if at.node.Kind != yaml.SequenceNode {
		l.fail(at, "expected a list, found %s", kindOf(at.node))
		return
	}
	for i, c := range at.node.Content {
		x := at.in(fmt.Sprintf("[%d]", i), c)
		list := []*yaml.Node{c}
		if c.Kind == yaml.SequenceNode { // what was imported may be a list
			list = c.Content
		}
		for _, n := range list {
			t := l.readType(place{x.file, x.field, n}, 0)
			if t.Name == "" {
				l.fail(x, "name is missing in a type's definition")
				continue
			}
			l.types[at.file+"#"+t.Name] = t
		}
	}
}
