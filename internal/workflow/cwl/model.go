package cwl

import "strings"

// Values of the class field of a process.
const (
	classTool           = "CommandLineTool"
	classExpressionTool = "ExpressionTool"
	classWorkflow       = "Workflow"
)

// Process is a command line tool, an expression tool or a workflow.
type Process struct {
	Class        string // "CommandLineTool", "ExpressionTool" or "Workflow"
	ID           string // local to its file; "" if it has none
	Label        string
	Inputs       []Parameter
	Outputs      []Parameter
	Requirements Requirements

	Tool       *Tool  // set for a command line tool
	Expression string // set for an expression tool
	Steps      []*Step

	where location
}

// Parameter is an input or an output of a process.
type Parameter struct {
	ID             string
	Type           *Type
	Default        any // nil if there is none
	SecondaryFiles []SecondaryFile
	Format         []string
	LoadContents   bool
	Binding        *Binding       // of a tool's input
	OutputBinding  *OutputBinding // of a tool's output
	Stream         string         // "stdin", "stdout" or "stderr" if the type is one of these, otherwise ""

	Source    []string // of a workflow's output
	LinkMerge string
	PickValue string

	where location
}

// SecondaryFile describes a file that accompanies a primary file ("SecondaryFileSchema").
type SecondaryFile struct {
	Pattern  string
	Required string // "", "true", "false" or an expression
}

// Binding describes how a value is added to the command line ("CommandLineBinding").
type Binding struct {
	Position      string // a number or an expression
	Prefix        string
	NoSeparate    bool // the prefix and the value form one argument
	ItemSeparator *string
	ValueFrom     string
	LoadContents  bool
	NoShellQuote  bool

	where location
}

// OutputBinding describes how an output of a tool is found ("CommandOutputBinding").
type OutputBinding struct {
	Glob         []string
	LoadContents bool
	OutputEval   string
}

// Argument is an element of a tool's arguments field: a string or a binding.
type Argument struct {
	Text    string
	Binding *Binding // if nil, Text is the argument
}

// Tool holds the fields that are specific to command line tools.
type Tool struct {
	BaseCommand                                          []string
	Arguments                                            []Argument
	Stdin, Stdout, Stderr                                string
	SuccessCodes, TemporaryFailCodes, PermanentFailCodes []int // exit codes; if SuccessCodes is empty, only 0 is success
}

// Step is a step of a workflow.
type Step struct {
	ID            string
	In            []StepInput
	Out           []string
	Run           *Process
	When          string
	Scatter       []string
	ScatterMethod string
	Requirements  Requirements

	where location
}

// StepInput is an input of a step and the source of its value.
type StepInput struct {
	ID           string
	Source       []string
	SourceIsList bool // the source was written as a list, even if it has only one item
	LinkMerge    string
	PickValue    string
	Default      any
	ValueFrom    string
	LoadContents bool

	where location
}

// Values of linkMerge and pickValue ("WorkflowStepInput") and of scatterMethod ("WorkflowStep").
const (
	MergeNested    = "merge_nested"
	MergeFlattened = "merge_flattened"

	PickFirst = "first_non_null"
	PickOnly  = "the_only_non_null"
	PickAll   = "all_non_null"

	DotProduct         = "dotproduct"
	NestedCrossProduct = "nested_crossproduct"
	FlatCrossProduct   = "flat_crossproduct"
)

// Requirements holds the requirements and hints that apply to a process.
type Requirements struct {
	JavaScript          *JavaScript
	StepInputExpression bool // StepInputExpressionRequirement
	Scatter             bool
	Subworkflow         bool
	MultipleInput       bool
	Image               string // DockerRequirement: the image that the machine must provide
	ImageHinted         bool
	Env                 []EnvVar
	Resources           Resources
	TimeLimit           string // in seconds, a number or an expression
	EnableReuse         string // WorkReuse, "" if not stated
	NetworkAccess       string
	Shell               bool
	WorkDir             *WorkDir
	Accelerator         string // number of accelerators, from the widely used CUDARequirement extension
}

// JavaScript enables JavaScript expressions (InlineJavascriptRequirement). Lib is evaluated before
// each expression.
type JavaScript struct{ Lib []string }

// EnvVar is an environment variable of EnvVarRequirement.
type EnvVar struct{ Name, Value string }

// Resources holds the fields of ResourceRequirement: numbers or expressions, "" if not stated.
// Cores are a count; the other values are in MiB.
type Resources struct {
	CoresMin, CoresMax, RAMMin, RAMMax, TmpMin, TmpMax, OutMin, OutMax string
}

// WorkDir is InitialWorkDirRequirement: one expression for the whole listing, or a list of entries.
type WorkDir struct {
	Listing string
	Entries []Dirent
}

// Dirent describes a file, or several files, to place in the working directory.
type Dirent struct {
	Name     string // "" if the entry evaluates to files that keep their own names
	Entry    string
	Writable bool
}

// input returns the input with the given id, or nil if there is none.
func (p *Process) input(id string) *Parameter {
	for i := range p.Inputs {
		if p.Inputs[i].ID == id {
			return &p.Inputs[i]
		}
	}
	return nil
}

// output returns the output with the given id, or nil if there is none.
func (p *Process) output(id string) *Parameter {
	for i := range p.Outputs {
		if p.Outputs[i].ID == id {
			return &p.Outputs[i]
		}
	}
	return nil
}

// Step returns the step with the given id, or nil if there is none.
func (p *Process) Step(id string) *Step {
	for _, s := range p.Steps {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// TaskTool returns the tool that the task with the given Task.ID runs, or nil if there is none.
func (p *Process) TaskTool(id string) *Process {
	if p.Class != classWorkflow {
		return p
	}
	for _, part := range strings.Split(id, "/") {
		name, _, _ := strings.Cut(part, "[")
		s := p.Step(name)
		if s == nil {
			return nil
		}
		p = s.Run
	}
	return p
}
