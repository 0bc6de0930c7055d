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
func (r *loader) needs(n *Needs, a place, required bool) {
	if isNull(a.node) {
		return
	}
	switch a.node.Kind {
	case yaml.MappingNode:
		for _, e := range entries(a.node) {
			node := e.node
			if isNull(node) {
				node = emptyMapping(e.key)
			}
			r.applyRequirement(n, e.key.Value, a.in(e.key.Value, node), required)
		}
	case yaml.SequenceNode:
		for i, node := range a.node.Content {
			item := a.in(fmt.Sprintf("[%d]", i), node)
			class := r.textField(item, "class")
			if class == "" {
				r.fail(item, "class is missing")
				continue
			}
			r.applyRequirement(n, class, item, required)
		}
	default:
		r.fail(a, "expected a list or a mapping, found %s", kindOf(a.node))
	}
}

// applyRequirement reads one requirement, or hint, and applies it to n.
func (r *loader) applyRequirement(n *Needs, class string, a place, required bool) {
	apply := r.need(class, a, n, required)
	switch {
	case apply == nil && required:
		r.fail(a, "requirement %s is not supported", class)
	case apply == nil:
		r.warn(a, "hint %s is not supported and passed over", class)
	default:
		apply()
	}
}

// need returns what a requirement changes, nil if it isn't supported.
func (r *loader) need(class string, a place, n *Needs, required bool) func() {
	if i := strings.LastIndexAny(class, "#:"); i >= 0 {
		class = class[i+1:]
	}
	known := func(names ...string) map[string]place { return r.fields(a, append(names, "class")...) }
	if feature := n.feature(class); feature != nil {
		known()
		return func() { *feature = true }
	}
	switch class {
	case "InlineJavascriptRequirement":
		f := known("expressionLib")
		return func() { n.JavaScript = &JavaScript{Lib: r.texts(f["expressionLib"])} }
	case "SchemaDefRequirement":
		f := known("types")
		return func() { r.defineTypes(f["types"]) }
	case "DockerRequirement":
		f := known("dockerPull", "dockerLoad", "dockerFile", "dockerImport", "dockerImageId", "dockerOutputDirectory")
		return func() { r.setImage(n, f, required) }
	case "EnvVarRequirement":
		f := known("envDef")
		return func() { r.setEnv(n, f["envDef"]) }
	case "ResourceRequirement":
		f := known("coresMin", "coresMax", "ramMin", "ramMax", "tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax")
		return func() { n.Resources = r.resources(f) }
	case "CUDARequirement":
		f := known("cudaVersionMin", "cudaComputeCapability", "cudaDeviceCountMin", "cudaDeviceCountMax")
		return func() { n.Accelerator = r.accelerators(f) }
	case "ToolTimeLimit":
		f := known("timelimit")
		return func() { n.TimeLimit = r.scalar(f["timelimit"]) }
	case "WorkReuse":
		f := known("enableReuse")
		return func() { n.Reuse = valueOr(f, "enableReuse", "true") }
	case "NetworkAccess":
		f := known("networkAccess")
		return func() { n.Network = valueOr(f, "networkAccess", n.Network) }
	case "InitialWorkDirRequirement":
		f := known("listing")
		return func() { n.WorkDir = r.workDir(f["listing"].orSelf(a)) }
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
func (r *loader) setImage(n *Needs, f map[string]place, required bool) {
	for _, field := range []string{"dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"} {
		if x, ok := f[field]; ok && required {
			r.fail(x, "is not supported; dockerPull or dockerImageId names the image that the machine must have")
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
		n.Image, n.ImageHinted = r.text(image), !required
	}
}

// setEnv applies the definitions of EnvVarRequirement, over those of the same name. The
// slice that n had is shared with the process around it and is not changed.
func (r *loader) setEnv(n *Needs, definitions place) {
	r.named(definitions, "envName", "envValue", func(envName string, x place) {
		f := r.fields(x, "envName", "envValue")
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
func (r *loader) resources(f map[string]place) Resources {
	return Resources{
		CoresMin: r.scalar(f["coresMin"]),
		CoresMax: r.scalar(f["coresMax"]),
		RAMMin:   r.scalar(f["ramMin"]),
		RAMMax:   r.scalar(f["ramMax"]),
		TmpMin:   r.scalar(f["tmpdirMin"]),
		TmpMax:   r.scalar(f["tmpdirMax"]),
		OutMin:   r.scalar(f["outdirMin"]),
		OutMax:   r.scalar(f["outdirMax"]),
	}
}

// accelerators reads the number of accelerators of CUDARequirement, one if it is not stated.
func (r *loader) accelerators(f map[string]place) string {
	if count, ok := f["cudaDeviceCountMin"]; ok {
		return r.scalar(count)
	}
	return "1"
}

// workDir reads the listing of InitialWorkDirRequirement: an expression or a list of entries.
func (r *loader) workDir(a place) *WorkDir {
	if a.node.Kind == yaml.ScalarNode {
		return &WorkDir{Listing: r.text(a)}
	}
	w := &WorkDir{}
	if a.node.Kind != yaml.SequenceNode {
		r.fail(a, "expected an expression or a list, found %s", kindOf(a.node))
		return w
	}
	for i, node := range a.node.Content {
		x := a.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind == yaml.ScalarNode {
			w.Entries = append(w.Entries, Dirent{Entry: r.text(x)})
			continue
		}
		f := r.fields(x, "class", "entryname", "entry", "writable")
		entry := Dirent{Writable: r.boolean(f["writable"], false)}
		if e, ok := f["entry"]; ok {
			entry.Entry = r.text(e)
		} else {
			r.fail(x, "entry is missing")
		}
		if e, ok := f["entryname"]; ok {
			entry.Name = r.text(e)
		}
		w.Entries = append(w.Entries, entry)
	}
	return w
}

// defineTypes reads the named types of SchemaDefRequirement, for the file they stand in.
func (r *loader) defineTypes(a place) {
	if isNull(a.node) {
		return
	}
	if a.node.Kind != yaml.SequenceNode {
		r.fail(a, "expected a list, found %s", kindOf(a.node))
		return
	}
	for i, c := range a.node.Content {
		x := a.in(fmt.Sprintf("[%d]", i), c)
		list := []*yaml.Node{c}
		if c.Kind == yaml.SequenceNode { // what was imported may be a list
			list = c.Content
		}
		for _, n := range list {
			t := r.readType(place{x.file, x.field, n}, 0)
			if t.Name == "" {
				r.fail(x, "name is missing in a type's definition")
				continue
			}
			r.types[a.file+"#"+t.Name] = t
		}
	}
}
