package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"maddermill/internal/exactjson"
)

// TopologyView is a controller's view of the declared topology: GET /api/topology. It is serialized as JSON
// lines, each an object with one of the fields block, machine and gang.
type TopologyView struct {
	Blocks   []BlockView
	Machines []MachineView
	Gangs    []GangView
}

// BlockView is a block of the topology. Outer blocks come before the blocks within them.
type BlockView struct {
	Path     string `json:"path"` // "soar/switch-2/rack-5"
	Level    string `json:"level"`
	Down     bool   `json:"down"` // the block, or one that contains it, is believed to have failed
	Machines int    `json:"machines"`
	Empty    int    `json:"empty"` // machines without tasks
}

// MachineView is a machine with a recent heartbeat at some controller, and its free resources.
type MachineView struct {
	Machine MachineID `json:"machine"`
	Block   string    `json:"block"` // "": unknown
	Usable  bool      `json:"usable"`
	CPUs    float64   `json:"cpus"` // free, as are GPUs and RAM
	GPUs    float64   `json:"gpus"`
	RAM     float64   `json:"ram_gb"`
	Jobs    []JobID   `json:"jobs,omitempty"`
}

// GangView is a placed gang of several tasks.
type GangView struct {
	Job      JobID       `json:"job"`
	Tasks    int         `json:"tasks"`
	Block    string      `json:"block"` // the innermost block that contains all its machines; "": none
	Cost     float64     `json:"cost"`
	Machines []MachineID `json:"machines"`
}

// topologyLine is one line of a serialized view. Exactly one field is set.
type topologyLine struct {
	Block   *BlockView   `json:"block,omitempty"`
	Machine *MachineView `json:"machine,omitempty"`
	Gang    *GangView    `json:"gang,omitempty"`
}

// AppendLines appends the view to b as JSON lines.
func (v *TopologyView) AppendLines(b []byte) ([]byte, error) {
	buf := bytes.NewBuffer(b)
	out := json.NewEncoder(buf)
	for i := range v.Blocks {
		if err := out.Encode(topologyLine{Block: &v.Blocks[i]}); err != nil {
			return nil, err
		}
	}
	for i := range v.Machines {
		if err := out.Encode(topologyLine{Machine: &v.Machines[i]}); err != nil {
			return nil, err
		}
	}
	for i := range v.Gangs {
		if err := out.Encode(topologyLine{Gang: &v.Gangs[i]}); err != nil {
			return nil, err
		}
	}
	return buf.Bytes(), nil
}

// DecodeTopology parses the output of AppendLines. Lines of unknown kinds are ignored.
func DecodeTopology(b []byte) (TopologyView, error) {
	var v TopologyView
	for i, line := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		var l topologyLine
		if err := exactjson.Unmarshal(line, &l); err != nil {
			return v, fmt.Errorf("wire: decode topology: line %d: %w", i+1, err)
		}
		switch {
		case l.Block != nil:
			v.Blocks = append(v.Blocks, *l.Block)
		case l.Machine != nil:
			v.Machines = append(v.Machines, *l.Machine)
		case l.Gang != nil:
			v.Gangs = append(v.Gangs, *l.Gang)
		}
	}
	return v, nil
}
