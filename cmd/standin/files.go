package main

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// The example files. Those with the suffix .tmpl are format strings for package fmt.
var (
	//go:embed example/settings.toml.tmpl
	settingsFormat string // arguments: addresses of the server, the peers, the cloud and the state service
	//go:embed example/promises.txtpb.tmpl
	promisesFormat string // argument: the deadline
	//go:embed example/job.json
	jobText string
	//go:embed example/gang.json
	gangText string
	//go:embed example/chain.cwl
	chainText string
)

// gangJob is the ID of the job in example/gang.json.
const gangJob = "wk-000002"

// promiseLeadTime is the time from the start of the program to the example's deadline.
const promiseLeadTime = 10 * time.Minute

// exampleFiles holds the paths of the example files.
type exampleFiles struct {
	settings string
	job      string
	gang     string
	topology string
	promises string
	workflow string
	data     string // the directory of the workflow steps' data
}

// newExampleFiles returns the paths of the example files in dir.
func newExampleFiles(dir string) exampleFiles {
	file := func(suffix string) string { return filepath.Join(dir, "maddermill-try"+suffix) }
	return exampleFiles{
		settings: file(".toml"),
		job:      file(".json"),
		gang:     file("-gang.json"),
		topology: file("-topology.txtpb"),
		promises: file("-promises.txtpb"),
		workflow: file("-chain.cwl"),
		data:     file("-data"),
	}
}

// write creates all files; the data directory is not created.
func (f exampleFiles) write(a addresses, zones []wire.Zone) error {
	deadline := time.Now().Add(promiseLeadTime).UTC().Format(time.RFC3339)
	for name, text := range map[string]string{
		f.settings: fmt.Sprintf(settingsFormat, a.server, a.peers, a.cloud, a.state),
		f.promises: fmt.Sprintf(promisesFormat, deadline),
		f.job:      jobText,
		f.gang:     gangText,
		f.workflow: chainText,
		f.topology: emulator.Topology(zones),
	} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// printUsage prints commands that use the example files.
func (f exampleFiles) printUsage(a addresses) {
	fmt.Printf("The emulated services are running. In a second terminal, run:\n\n"+
		"  target/maddermill --config %s --topology %s --promises %s --workflows %s\n\nand in a third terminal:\n\n",
		f.settings, f.topology, f.promises, f.data)
	fmt.Printf("  target/maddermill job submit %s --server %s\n  target/maddermill job get wk-000001 --server %s\n\n",
		f.job, a.server, a.server)
	fmt.Printf("A gang of four tasks, and its placement (while it runs, for one minute):\n\n"+
		"  target/maddermill job submit %s --server %s\n  target/maddermill topology show --config %s\n\n",
		f.gang, a.server, f.settings)
	fmt.Printf("The gallery of both jobs, with a deadline in ten minutes:\n\n"+
		"  target/maddermill promises show --config %s --dates\n\n",
		f.settings)
	fmt.Printf("A workflow that reads a receipt, validates it and pays:\n\n"+
		"  target/maddermill cwl submit %s --id wf-000001 --team try --server %s\n"+
		"  target/maddermill cwl watch wf-000001 --server %s\n",
		f.workflow, a.server, a.server)
}
