// Command standin runs stand-ins of the systems around maddermill on loopback:
// a state service, a cloud and the workers of its machines. It is for trying
// maddermill out and keeps nothing.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"maddermill/internal/testing/emulator"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

const settingsFile = `member = "mill-0"
zone = "here"
bind = "%s"
mesh_addr = "%s"

[outside]
cloud = "%s"
state = "%s"

[settings]
count = 1
zones = ["here", "there"]

[[settings.teams]]
name = "try"

[settings.workers]
report_s = 1.0
lease_s = 15.0
gang_wait_s = 20.0
gang_peer_s = 5.0
cancel_s = 40.0

[settings.state]
rps = 500.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 20

[settings.cloud]
rps = 5.0
list_lag_s = 1.0
`

const jobFile = `{"id":"wk-000001","workclass":"trial","owner":"try","shape":"array","urgency":"normal","pieces":4,
 "cores":2.0,"accelerators":0.0,"ram_gb":4.0,"bundle":"img-1","pull_gb":1.0,"together":false,"scatter":false,
 "loaners":true,"expect_s":5.0,"snapshot_s":0.0,"stash_s":0.0}
`

const chainFile = `cwlVersion: v1.2
class: Workflow
requirements: {InlineJavascriptRequirement: {}}
inputs:
  receipt: {type: string, default: "fuel 41.50"}
outputs:
  paid: {type: string, outputSource: pay/slip}
steps:
  read:
    in: {text: receipt}
    out: [page]
    run:
      class: CommandLineTool
      baseCommand: echo
      stdout: page.txt
      inputs: {text: {type: string, inputBinding: {}}}
      outputs: {page: stdout}
  check:
    in: {page: read/page}
    out: [verdict]
    run:
      class: CommandLineTool
      baseCommand: cat
      stdout: checked.txt
      inputs: {page: {type: File, inputBinding: {}}}
      outputs:
        verdict: {type: string, outputBinding: {glob: checked.txt, loadContents: true, outputEval: "$(self[0].contents.trim())"}}
  pay:
    in: {what: check/verdict}
    out: [slip]
    run:
      class: CommandLineTool
      baseCommand: [echo, paid]
      stdout: slip.txt
      inputs: {what: {type: string, inputBinding: {}}}
      outputs:
        slip: {type: string, outputBinding: {glob: slip.txt, loadContents: true, outputEval: "$(self[0].contents.trim())"}}
`

const gangJob = "wk-000002"

const gangFile = `{"id":"wk-000002","workclass":"trial","owner":"try","shape":"gang","urgency":"high","pieces":4,
 "cores":4.0,"accelerators":0.0,"ram_gb":8.0,"bundle":"img-1","pull_gb":1.0,"together":false,"scatter":false,
 "loaners":true,"expect_s":60.0,"snapshot_s":0.0,"stash_s":0.0}
`

const registerFile = `# A couple's work and its promised date.
revision: 1
gallery { name: "couple-1" team: "try" promised: %q job: "wk-000001" job: "wk-000002" complete: true }
`

func main() {
	var listen, dir string
	cmd := &cobra.Command{Use: "standin", Short: "Stand-ins of state service, cloud and workers on loopback",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			return run(ctx, listen, dir)
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "first of four loopback `ADDRESSES`")
	cmd.Flags().StringVar(&dir, "dir", os.TempDir(), "where the settings file and an example job are written")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

func run(ctx context.Context, listen, dir string) error {
	first, err := netip.ParseAddrPort(listen)
	if err != nil || !first.Addr().IsLoopback() {
		return fmt.Errorf("--listen: %q is not a loopback address and port", listen)
	}
	addr := func(i uint16) string { return netip.AddrPortFrom(first.Addr(), first.Port()+i).String() }
	file := func(ending string) string { return filepath.Join(dir, "maddermill-try"+ending) }
	world := emulator.NewWorld(40 * time.Second)
	store := emulator.NewStore(20, 16<<10)
	store.Seen = func(c wire.Change) {
		if spec, ok := emulator.Spec(c); ok {
			world.Upload(spec)
		}
	}
	cl := &emulator.Cloud{
		World: world,
		Lag:   time.Second,
		Lease: 15 * time.Second,
		Most:  8,
		Run: func(t wire.TaskID) time.Duration {
			if t.Job == gangJob {
				return time.Minute // long enough to look where it sits
			}
			return 5 * time.Second
		},
		Types: []wire.MachineType{
			{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBps: 1, Price: 1, SpotPrice: 0.4,
				Boot: 3, Zones: []wire.Zone{"here", "there"}},
		},
	}
	steps := stepdata.Dir{Root: file("-data")}
	world.Finished = func(t wire.TaskID) {
		if err := emulator.RunStep(ctx, steps, t.Job); err != nil {
			log.Printf("step %s: %v", t.Job, err)
		}
	}
	cl.Started = func(m *emulator.Machine) { go work(ctx, m, addr(0)) }
	config, job, gang, places, register := file(
		".toml",
	), file(
		".json",
	), file(
		"-gang.json",
	), file(
		"-topology.txtpb",
	), file(
		"-promises.txtpb",
	)
	for name, text := range map[string]string{config: fmt.Sprintf(settingsFile, addr(0), addr(1), addr(2), addr(3)),
		register: fmt.Sprintf(registerFile, time.Now().Add(10*time.Minute).UTC().Format(time.RFC3339)),
		job:      jobFile, gang: gangFile, file("-chain.cwl"): chainFile, places: emulator.Topology(cl.Types[0].Zones)} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			return err
		}
	}
	failed := make(chan error, 2)
	for at, h := range map[string]http.Handler{addr(2): emulator.CloudHandler(cl), addr(3): emulator.StateHandler(emulator.NewLink(store, 1))} {
		l, err := net.Listen("tcp4", at)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h}
		defer server.Close()
		go func() { failed <- server.Serve(l) }()
	}
	fmt.Printf(
		"Stand-ins are up. In another terminal:\n\n  target/maddermill --config %s --topology %s --promises %s --workflows %s\n\nand in a third:\n\n"+
			"  target/maddermill job submit %s --server %s\n  target/maddermill job get wk-000001 --server %s\n\n"+
			"A gang of four, and where it sits (while it runs, for a minute):\n\n"+
			"  target/maddermill job submit %s --server %s\n  target/maddermill topology show --config %s\n\n"+
			"The gallery that both are of, promised in ten minutes:\n\n  target/maddermill promises show --config %s --dates\n\n"+
			"A workflow that reads a receipt, checks it and pays:\n\n"+
			"  target/maddermill cwl submit %s --id wf-000001 --team try --server %s\n  target/maddermill cwl watch wf-000001 --server %s\n",
		config,
		places,
		register,
		steps.Root,
		job,
		addr(0),
		addr(0),
		gang,
		addr(0),
		config,
		config,
		file("-chain.cwl"),
		addr(0),
		addr(0),
	)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// work is one worker's loop.
func work(ctx context.Context, m *emulator.Machine, controller string) {
	client := &http.Client{Timeout: 4 * time.Second}
	for ctx.Err() == nil && !m.Gone() {
		time.Sleep(time.Second)
		r, begun := m.Heartbeat()
		if r == nil {
			continue
		}
		b, err := json.Marshal(r)
		if err != nil {
			log.Print(err)
			return
		}
		p, err := client.Post("http://"+controller+"/v1/report", "application/json", bytes.NewReader(b))
		if err != nil {
			continue
		}
		var a wire.HeartbeatResponse
		err = json.NewDecoder(p.Body).Decode(&a)
		p.Body.Close()
		if err == nil && p.StatusCode == 200 {
			m.Answer(begun, r.Epoch, &a)
		}
	}
}
