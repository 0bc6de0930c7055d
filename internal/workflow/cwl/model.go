package cwl

import "strings"

// The classes of processes.
const (
	classTool           = "CommandLineTool"
	classExpressionTool = "ExpressionTool"
	classWorkflow       = "Workflow"
)

// Process is a tool, an expression tool or a workflow.
type Process struct {
	Class   string // "CommandLineTool", "ExpressionTool" or "Workflow"
	ID      string // within its file, "" if it has none
	Label   string
	Inputs  []Parameter
	Outputs []Parameter
	Needs   Needs

	Tool       *Tool  // of a command line tool
	Expression string // of an expression tool
	Steps      []*Step

	where place
}

// Parameter is an input or an output of a process.
type Parameter struct {
	ID             string
	Type           *Type
	Default        any // nil: none
	SecondaryFiles []SecondaryFile
	Format         []string
	LoadContents   bool
	Binding        *Binding       // of a tool's input
	OutputBinding  *OutputBinding // of a tool's output
	Stream         string         // "stdin", "stdout" or "stderr" where the type is that

	Source    []string // of a workflow's output
	LinkMerge string
	PickValue string

	where place
}

// SecondaryFile is a file that goes with another ("SecondaryFileSchema").
type SecondaryFile struct {
	Pattern  string
	Required string // "", "true", "false" or an expression
}

// Binding puts a value on a command line ("CommandLineBinding").
type Binding struct {
	Position      string // a number or an expression
	Prefix        string
	NoSeparate    bool // the prefix and the value are one argument
	ItemSeparator *string
	ValueFrom     string
	LoadContents  bool
	NoShellQuote  bool

	where place
}

// OutputBinding finds a tool's output ("CommandOutputBinding").
type OutputBinding struct {
	Glob         []string
	LoadContents bool
	OutputEval   string
}

// Argument is a fixed part of a command line.
type Argument struct {
	Text    string
	Binding *Binding // nil: only the text
}

// Tool is what is particular to a command line tool.
type Tool struct {
	Command                []string
	Arguments              []Argument
	Stdin, Stdout, Stderr  string
	Success, Retry, Failed []int // exit codes; 0 alone is success if none are given
}

// Step is a step of a workflow.
type Step struct {
	ID      string
	In      []StepInput
	Out     []string
	Run     *Process
	When    string
	Scatter []string
	Method  string // of the scatter
	Needs   Needs

	where place
}

// StepInput is where a step's input comes from.
type StepInput struct {
	ID           string
	Source       []string
	List         bool // the source was written as a list, of one perhaps
	LinkMerge    string
	PickValue    string
	Default      any
	ValueFrom    string
	LoadContents bool

	where place
}

// The ways of merging and picking links ("WorkflowStepInput") and of scattering
// ("WorkflowStep").
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

// Needs are the requirements and hints that apply to a process.
type Needs struct {
	JavaScript  *JavaScript
	StepInputs  bool // StepInputExpressionRequirement
	Scatter     bool
	Subworkflow bool
	MultiInput  bool
	Image       string // DockerRequirement: what the machine must have
	ImageHinted bool
	Env         []EnvVar
	Resources   Resources
	TimeLimit   string // seconds, a number or an expression
	Reuse       string // WorkReuse, "" if not stated
	Network     string
	Shell       bool
	WorkDir     *WorkDir
	Accelerator string // number of accelerators, from the common CUDA extension
}

// JavaScript allows expressions in it.
type JavaScript struct{ Lib []string }

// EnvVar is one of EnvVarRequirement.
type EnvVar struct{ Name, Value string }

// Resources are those of ResourceRequirement: numbers or expressions, "" if not stated.
// Cores are a number; the others are in MiB.
type Resources struct {
	CoresMin, CoresMax, RAMMin, RAMMax, TmpMin, TmpMax, OutMin, OutMax string
}

// WorkDir is InitialWorkDirRequirement: an expression for all, or entries.
type WorkDir struct {
	Listing string
	Entries []Dirent
}

// Dirent puts a file into the working directory.
type Dirent struct {
	Name     string // "" if the entry gives files with names of their own
	Entry    string
	Writable bool
}

// input finds an input by name, nil if there is none.
func (p *Process) input(id string) *Parameter {
	for i := range p.Inputs {
		if p.Inputs[i].ID == id {
			return &p.Inputs[i]
		}
	}
	return nil
}

// output finds an output by name, nil if there is none.
func (p *Process) output(id string) *Parameter {
	for i := range p.Outputs {
		if p.Outputs[i].ID == id {
			return &p.Outputs[i]
		}
	}
	return nil
}

// Step finds a step by name, nil if there is none.
func (p *Process) Step(id string) *Step {
	for _, s := range p.Steps {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// ToolAt finds the tool of a task by the task's id, as Run gives it; nil if there is none.
func (p *Process) ToolAt(id string) *Process {
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
