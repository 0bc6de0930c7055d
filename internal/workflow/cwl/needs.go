package cwl

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v4"
)

// readRequirements parses requirements, or hints, and applies them on top of those in n. An
// unsupported requirement is an error; an unsupported hint is ignored with a warning. Hints
// should not replace requirements, but only setImage enforces this.
func (l *loader) readRequirements(n *Requirements, at location, required bool) {
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
			class := l.readStringField(item, "class")
			if class == "" {
				l.errorf(item, "class is missing")
				continue
			}
			l.applyRequirement(n, class, item, required)
		}
	default:
		l.errorf(at, "expected a list or a mapping, found %s", describeNode(at.node))
	}
}

// applyRequirement parses one requirement, or hint, and applies it to n.
func (l *loader) applyRequirement(n *Requirements, class string, at location, required bool) {
	apply := l.requirementSetter(class, at, n, required)
	switch {
	case apply == nil && required:
		l.errorf(at, "requirement %s is not supported", class)
	case apply == nil:
		l.warnf(at, "hint %s is not supported and passed over", class)
	default:
		apply()
	}
}

// requirementSetter returns a function that applies a requirement to n, or nil if the class is not
// supported.
func (l *loader) requirementSetter(class string, at location, n *Requirements, required bool) func() {
	if i := strings.LastIndexAny(class, "#:"); i >= 0 {
		class = class[i+1:]
	}
	known := func(names ...string) map[string]location { return l.fields(at, append(names, "class")...) }
	if feature := n.feature(class); feature != nil {
		known()
		return func() { *feature = true }
	}
	switch class {
	case "InlineJavascriptRequirement":
		f := known("expressionLib")
		return func() { n.JavaScript = &JavaScript{Lib: l.readStrings(f["expressionLib"])} }
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
		return func() { n.Resources = l.readResources(f) }
	case "CUDARequirement":
		f := known("cudaVersionMin", "cudaComputeCapability", "cudaDeviceCountMin", "cudaDeviceCountMax")
		return func() { n.Accelerator = l.readAccelerators(f) }
	case "ToolTimeLimit":
		f := known("timelimit")
		return func() { n.TimeLimit = l.readScalar(f["timelimit"]) }
	case "WorkReuse":
		f := known("enableReuse")
		return func() { n.EnableReuse = valueOr(f, "enableReuse", "true") }
	case "NetworkAccess":
		f := known("networkAccess")
		return func() { n.NetworkAccess = valueOr(f, "networkAccess", n.NetworkAccess) }
	case "InitialWorkDirRequirement":
		f := known("listing")
		return func() { n.WorkDir = l.readWorkDir(f["listing"].orElse(at)) }
	}
	return nil
}

// feature returns the flag that a requirement without fields sets, or nil for other requirements.
func (n *Requirements) feature(class string) *bool {
	switch class {
	case "StepInputExpressionRequirement":
		return &n.StepInputExpression
	case "ScatterFeatureRequirement":
		return &n.Scatter
	case "SubworkflowFeatureRequirement":
		return &n.Subworkflow
	case "MultipleInputFeatureRequirement":
		return &n.MultipleInput
	}
	return nil
}

// valueOr returns the raw text of a field, or fallback if the field is missing.
func valueOr(f map[string]location, field, fallback string) string {
	if x, ok := f[field]; ok {
		return x.node.Value
	}
	return fallback
}

// setImage applies the fields of DockerRequirement. A hint does not replace an image that a
// requirement names.
func (l *loader) setImage(n *Requirements, f map[string]location, required bool) {
	for _, field := range []string{"dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"} {
		if x, ok := f[field]; ok && required {
			l.errorf(x, "is not supported; dockerPull or dockerImageId names the image that the machine must have")
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
		n.Image, n.ImageHinted = l.readString(image), !required
	}
}

// setEnv applies the definitions of EnvVarRequirement, replacing variables of the same name. The
// slice n.Env is shared with the enclosing process, so it is cloned before it is modified.
func (l *loader) setEnv(n *Requirements, definitions location) {
	l.forEachNamed(definitions, "envName", "envValue", func(envName string, x location) {
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

// readResources parses the fields of ResourceRequirement.
func (l *loader) readResources(f map[string]location) Resources {
	return Resources{
		CoresMin: l.readScalar(f["coresMin"]),
		CoresMax: l.readScalar(f["coresMax"]),
		RAMMin:   l.readScalar(f["ramMin"]),
		RAMMax:   l.readScalar(f["ramMax"]),
		TmpMin:   l.readScalar(f["tmpdirMin"]),
		TmpMax:   l.readScalar(f["tmpdirMax"]),
		OutMin:   l.readScalar(f["outdirMin"]),
		OutMax:   l.readScalar(f["outdirMax"]),
	}
}

// readAccelerators reads the number of accelerators of CUDARequirement. The default is one.
func (l *loader) readAccelerators(f map[string]location) string {
	if count, ok := f["cudaDeviceCountMin"]; ok {
		return l.readScalar(count)
	}
	return "1"
}

// readWorkDir parses the listing of InitialWorkDirRequirement: an expression or a list of entries.
func (l *loader) readWorkDir(at location) *WorkDir {
	if at.node.Kind == yaml.ScalarNode {
		return &WorkDir{Listing: l.readString(at)}
	}
	w := &WorkDir{}
	if at.node.Kind != yaml.SequenceNode {
		l.errorf(at, "expected an expression or a list, found %s", describeNode(at.node))
		return w
	}
	for i, node := range at.node.Content {
		x := at.in(fmt.Sprintf("[%d]", i), node)
		if node.Kind == yaml.ScalarNode {
			w.Entries = append(w.Entries, Dirent{Entry: l.readString(x)})
			continue
		}
		f := l.fields(x, "class", "entryname", "entry", "writable")
		entry := Dirent{Writable: l.readBool(f["writable"], false)}
		if e, ok := f["entry"]; ok {
			entry.Entry = l.readString(e)
		} else {
			l.errorf(x, "entry is missing")
		}
		if e, ok := f["entryname"]; ok {
			entry.Name = l.readString(e)
		}
		w.Entries = append(w.Entries, entry)
	}
	return w
}

// defineTypes parses the named types of SchemaDefRequirement and registers them for their file.
func (l *loader) defineTypes(at location) {
	if isNull(at.node) {
		return
	}
	if at.node.Kind != yaml.SequenceNode {
		l.errorf(at, "expected a list, found %s", describeNode(at.node))
		return
	}
	for i, c := range at.node.Content {
		x := at.in(fmt.Sprintf("[%d]", i), c)
		list := []*yaml.Node{c}
		if c.Kind == yaml.SequenceNode { // $import may have inserted a list of types
			list = c.Content
		}
		for _, n := range list {
			t := l.readType(location{x.file, x.field, n}, 0)
			if t.Name == "" {
				l.errorf(x, "name is missing in a type's definition")
				continue
			}
			l.types[at.file+"#"+t.Name] = t
		}
	}
}
