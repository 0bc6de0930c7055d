package cwl

import (
	"fmt"

	"go.yaml.in/yaml/v4"
)

// readBinding parses a command line binding.
func (l *loader) readBinding(at location) *Binding {
	f := l.fields(at, "position", "prefix", "separate", "itemSeparator", "valueFrom", "loadContents", "shellQuote")
	b := &Binding{
		where:        at,
		Position:     l.readScalar(f["position"]),
		NoSeparate:   !l.readBool(f["separate"], true),
		LoadContents: l.readBool(f["loadContents"], false),
		NoShellQuote: !l.readBool(f["shellQuote"], true),
	}
	if x, ok := f["prefix"]; ok {
		b.Prefix = l.readString(x)
	}
	if x, ok := f["itemSeparator"]; ok && !isNull(x.node) {
		s := l.readString(x)
		b.ItemSeparator = &s
	}
	if x, ok := f["valueFrom"]; ok {
		b.ValueFrom = x.node.Value
	}
	return b
}

// readOutputBinding parses an output binding.
func (l *loader) readOutputBinding(at location) *OutputBinding {
	f := l.fields(at, "glob", "loadContents", "loadListing", "outputEval")
	b := &OutputBinding{Glob: l.readStrings(f["glob"]), LoadContents: l.readBool(f["loadContents"], false)}
	if x, ok := f["outputEval"]; ok {
		b.OutputEval = l.readString(x)
	}
	return b
}

// readTool parses the fields that are specific to command line tools. f holds the fields of the
// process at the given location.
func (l *loader) readTool(at location, f map[string]location) *Tool {
	t := &Tool{
		BaseCommand:        l.readStrings(f["baseCommand"]),
		SuccessCodes:       l.readInts(f["successCodes"]),
		TemporaryFailCodes: l.readInts(f["temporaryFailCodes"]),
		PermanentFailCodes: l.readInts(f["permanentFailCodes"]),
	}
	for _, stream := range []struct {
		field string
		to    *string
	}{{"stdin", &t.Stdin}, {"stdout", &t.Stdout}, {"stderr", &t.Stderr}} {
		if x, ok := f[stream.field]; ok && !isNull(x.node) {
			*stream.to = l.readString(x)
		}
	}
	if arguments, ok := f["arguments"]; ok {
		if arguments.node.Kind != yaml.SequenceNode {
			l.errorf(arguments, "expected a list, found %s", describeNode(arguments.node))
			return t
		}
		t.Arguments = l.readArguments(arguments)
	}
	if len(t.BaseCommand) == 0 && len(t.Arguments) == 0 {
		l.errorf(at, "a tool needs a baseCommand or arguments")
	}
	return t
}

// readArguments parses a list of arguments, each a string or a binding with valueFrom.
func (l *loader) readArguments(list location) []Argument {
	var arguments []Argument
	for i, node := range list.node.Content {
		if node.Kind == yaml.ScalarNode {
			arguments = append(arguments, Argument{Text: node.Value})
			continue
		}
		x := list.in(fmt.Sprintf("[%d]", i), node)
		binding := l.readBinding(x)
		if binding.ValueFrom == "" {
			l.errorf(x, "valueFrom is missing in an argument")
		}
		arguments = append(arguments, Argument{Binding: binding})
	}
	return arguments
}
