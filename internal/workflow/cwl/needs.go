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
func (r *reading) needs(n *Needs, a at, required bool) {
	if isNull(a.n) {
		return
	}
	one := func(class string, x at) {
		apply := r.need(class, x, n, required)
		switch {
		case apply == nil && required:
			r.fail(x, "requirement %s is not supported", class)
		case apply == nil:
			r.warn(x, "hint %s is not supported and passed over", class)
		default:
			apply()
		}
	}
	switch a.n.Kind {
	case yaml.MappingNode:
		for _, e := range entries(a.n) {
			v := e.node
			if isNull(v) {
				v = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: e.key.Line, Column: e.key.Column}
			}
			one(e.key.Value, a.in(e.key.Value, v))
		}
	case yaml.SequenceNode:
		for i, c := range a.n.Content {
			x := a.in(fmt.Sprintf("[%d]", i), c)
			class := ""
			if c.Kind == yaml.MappingNode {
				for _, e := range entries(c) {
					if e.key.Value == "class" {
						class = r.text(x.in("class", e.node))
					}
				}
			}
			if class == "" {
				r.fail(x, "class is missing")
				continue
			}
			one(class, x)
		}
	default:
		r.fail(a, "expected a list or a mapping, found %s", kindOf(a.n))
	}
}

// need returns what a requirement changes, nil if it isn't supported.
func (r *reading) need(class string, a at, n *Needs, required bool) func() {
	if i := strings.LastIndexAny(class, "#:"); i >= 0 {
		class = class[i+1:]
	}
	known := func(names ...string) map[string]at { return r.fields(a, append(names, "class")...) }
	switch class {
	case "InlineJavascriptRequirement":
		f := known("expressionLib")
		return func() { n.JavaScript = &JavaScript{Lib: r.texts(f["expressionLib"])} }
	case "StepInputExpressionRequirement":
		known()
		return func() { n.StepInputs = true }
	case "ScatterFeatureRequirement":
		known()
		return func() { n.Scatter = true }
	case "SubworkflowFeatureRequirement":
		known()
		return func() { n.Subworkflow = true }
	case "MultipleInputFeatureRequirement":
		known()
		return func() { n.MultiInput = true }
	case "SchemaDefRequirement":
		f := known("types")
		return func() { r.defineTypes(f["types"]) }
	case "DockerRequirement":
		f := known("dockerPull", "dockerLoad", "dockerFile", "dockerImport", "dockerImageId", "dockerOutputDirectory")
		for _, x := range []string{"dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"} {
			if v, ok := f[x]; ok && required {
				r.fail(v, "is not supported; dockerPull or dockerImageId names the image that the machine must have")
			}
		}
		name := f["dockerPull"]
		if id, ok := f["dockerImageId"]; ok {
			name = id
		}
		if name.n == nil {
			return func() {}
		}
		return func() {
			if required || n.Image == "" || n.ImageHinted {
				n.Image, n.ImageHinted = r.text(name), !required
			}
		}
	case "EnvVarRequirement":
		f := known("envDef")
		return func() {
			r.named(f["envDef"], "envName", "envValue", func(name string, x at) {
				ff := r.fields(x, "envName", "envValue")
				v := EnvVar{Name: name}
				if val, ok := ff["envValue"]; ok {
					v.Value = val.n.Value
				}
				if i := slices.IndexFunc(n.Env, func(e EnvVar) bool { return e.Name == name }); i >= 0 {
					n.Env = slices.Clone(n.Env)
					n.Env[i] = v
				} else {
					n.Env = append(slices.Clone(n.Env), v)
				}
			})
		}
	case "ResourceRequirement":
		f := known("coresMin", "coresMax", "ramMin", "ramMax", "tmpdirMin", "tmpdirMax", "outdirMin", "outdirMax")
		return func() {
			res := Resources{}
			for field, to := range map[string]*string{"coresMin": &res.CoresMin, "coresMax": &res.CoresMax, "ramMin": &res.RAMMin, "ramMax": &res.RAMMax,
				"tmpdirMin": &res.TmpMin, "tmpdirMax": &res.TmpMax, "outdirMin": &res.OutMin, "outdirMax": &res.OutMax} {
				*to = r.scalar(f[field])
			}
			n.Resources = res
		}
	case "CUDARequirement":
		f := known("cudaVersionMin", "cudaComputeCapability", "cudaDeviceCountMin", "cudaDeviceCountMax")
		return func() {
			n.Accelerator = "1"
			if c, ok := f["cudaDeviceCountMin"]; ok {
				n.Accelerator = r.scalar(c)
			}
		}
	case "ToolTimeLimit":
		f := known("timelimit")
		return func() { n.TimeLimit = r.scalar(f["timelimit"]) }
	case "WorkReuse":
		f := known("enableReuse")
		return func() {
			n.Reuse = "true"
			if e, ok := f["enableReuse"]; ok {
				n.Reuse = e.n.Value
			}
		}
	case "NetworkAccess":
		f := known("networkAccess")
		return func() {
			if e, ok := f["networkAccess"]; ok {
				n.Network = e.n.Value
			}
		}
	case "InitialWorkDirRequirement":
		f := known("listing")
		return func() { n.WorkDir = r.workDir(f["listing"].orSelf(a)) }
	case "LoadListingRequirement", "InplaceUpdateRequirement":
		return nil
	}
	return nil
}

func (r *reading) workDir(a at) *WorkDir {
	if a.n.Kind == yaml.ScalarNode {
		return &WorkDir{Listing: r.text(a)}
	}
	w := &WorkDir{}
	if a.n.Kind != yaml.SequenceNode {
		r.fail(a, "expected an expression or a list, found %s", kindOf(a.n))
		return w
	}
	for i, c := range a.n.Content {
		x := a.in(fmt.Sprintf("[%d]", i), c)
		if c.Kind == yaml.ScalarNode {
			w.Entries = append(w.Entries, Dirent{Entry: r.text(x)})
			continue
		}
		f := r.fields(x, "class", "entryname", "entry", "writable")
		d := Dirent{Writable: r.boolean(f["writable"], false)}
		if e, ok := f["entry"]; ok {
			d.Entry = r.text(e)
		} else {
			r.fail(x, "entry is missing")
		}
		if e, ok := f["entryname"]; ok {
			d.Name = r.text(e)
		}
		w.Entries = append(w.Entries, d)
	}
	return w
}

// defineTypes reads the named types of SchemaDefRequirement, for the file they stand in.
func (r *reading) defineTypes(a at) {
	if isNull(a.n) {
		return
	}
	if a.n.Kind != yaml.SequenceNode {
		r.fail(a, "expected a list, found %s", kindOf(a.n))
		return
	}
	for i, c := range a.n.Content {
		x := a.in(fmt.Sprintf("[%d]", i), c)
		list := []*yaml.Node{c}
		if c.Kind == yaml.SequenceNode { // what was imported may be a list
			list = c.Content
		}
		for _, n := range list {
			t := r.readType(at{x.file, x.field, n}, 0)
			if t.Name == "" {
				r.fail(x, "name is missing in a type's definition")
				continue
			}
			r.types[a.file+"#"+t.Name] = t
		}
	}
}
