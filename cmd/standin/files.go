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

// The example files. Those that end in .tmpl are formats for package fmt.
var (
	//go:embed example/settings.toml.tmpl
	settingsFormat string // addresses of the server, the peers, the cloud and the state service
	//go:embed example/promises.txtpb.tmpl
	promisesFormat string // the promised time
	//go:embed example/job.json
	jobText string
	//go:embed example/gang.json
	gangText string
	//go:embed example/chain.cwl
	chainText string
)

// gangJob is the ID of the job in example/gang.json.
const gangJob = "wk-000002"

// promisedWithin is the time from now to the promised date of the example.
const promisedWithin = 10 * time.Minute

// exampleFiles are the paths of the files that are written for trying maddermill out.
type exampleFiles struct {
	settings string
	job      string
	gang     string
	topology string
	promises string
	workflow string
	data     string // the directory of the workflow steps' data
}

// newExampleFiles returns the paths of the files in a directory.
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

// write writes all files but the data.
func (f exampleFiles) write(a addresses, zones []wire.Zone) error {
	promised := time.Now().Add(promisedWithin).UTC().Format(time.RFC3339)
	for name, text := range map[string]string{
		f.settings: fmt.Sprintf(settingsFormat, a.server, a.peers, a.cloud, a.state),
		f.promises: fmt.Sprintf(promisesFormat, promised),
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

// printUsage prints the commands that use the files.
func (f exampleFiles) printUsage(a addresses) {
	fmt.Printf("Stand-ins are up. In another terminal:\n\n"+
		"  target/maddermill --config %s --topology %s --promises %s --workflows %s\n\nand in a third:\n\n",
		f.settings, f.topology, f.promises, f.data)
	fmt.Printf("  target/maddermill job submit %s --server %s\n  target/maddermill job get wk-000001 --server %s\n\n",
		f.job, a.server, a.server)
	fmt.Printf("A gang of four, and where it sits (while it runs, for a minute):\n\n"+
		"  target/maddermill job submit %s --server %s\n  target/maddermill topology show --config %s\n\n",
		f.gang, a.server, f.settings)
	fmt.Printf("The gallery that both are of, promised in ten minutes:\n\n"+
		"  target/maddermill promises show --config %s --dates\n\n",
		f.settings)
	fmt.Printf("A workflow that reads a receipt, checks it and pays:\n\n"+
		"  target/maddermill cwl submit %s --id wf-000001 --team try --server %s\n"+
		"  target/maddermill cwl watch wf-000001 --server %s\n",
		f.workflow, a.server, a.server)
}
