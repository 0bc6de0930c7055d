package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"maddermill/internal/leader/cloud"
	"maddermill/wire"
)

// Cloud stands in for the cloud. Its list lags.
type Cloud struct {
	World   *World
	Types   []wire.MachineType
	Lag     time.Duration
	Lease   time.Duration
	Most    int
	Run     func(wire.TaskID) time.Duration
	Started func(*Machine)

	mu     sync.Mutex
	next   int
	inZone map[int]int // machines so far
	all    []*rented
	hires  map[wire.ScaleOutID][]wire.MachineID
	Down   bool
}

type rented struct {
	m       *Machine
	at      time.Time
	up      time.Time
	deleted time.Time
}

// travel takes a request's time and refuses it while the cloud is down. It must
// not be slept under a lock: a fake clock stands still while anyone waits for one.
func (c *Cloud) travel() error {
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		return cloud.ErrRefused
	}
	return nil
}

// SetDown makes the cloud refuse everything, or ends that.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	c.Down = down
	c.mu.Unlock()
}

// MachineTypes implements the controllers' view of the cloud.
func (c *Cloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	return c.Types, c.travel()
}

// ScaleOut implements the controllers' view of the cloud.
func (c *Cloud) ScaleOut(_ context.Context, h wire.ScaleOutRequest) ([]wire.MachineID, error) {
	if err := c.travel(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.hires[h.Request]; ok {
		return old, nil
	}
	var names []wire.MachineID
	for range h.Count {
		up := 0
		for _, r := range c.all {
			if r.deleted.IsZero() {
				up++
			}
		}
		if up >= c.Most {
			break
		}
		names = append(names, c.add(h.Type, h.Zone, h.Spot, c.boot(h.Type)))
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	if c.hires == nil {
		c.hires = map[wire.ScaleOutID][]wire.MachineID{}
	}
	c.hires[h.Request] = names
	return names, nil
}

func (c *Cloud) boot(t wire.MachineTypeName) time.Duration {
	for _, f := range c.Types {
		if f.Name == t {
			return f.Boot.Duration()
		}
	}
	return 0
}

// Add rents a machine that nobody asked for, up at once.
func (c *Cloud) Add(t wire.MachineTypeName, z wire.Zone, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(t, z, spot, 0)
}

func (c *Cloud) add(t wire.MachineTypeName, z wire.Zone, spot bool, boot time.Duration) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("host-%06d", c.next))
	c.next++
	var f wire.MachineType
	for _, o := range c.Types {
		if o.Name == t {
			f = o
		}
	}
	m := &Machine{World: c.World, Lease: c.Lease, Run: c.Run, GPUs: f.GPUs,
		Type: wire.ListedMachine{ID: id, Type: t, Zone: z, Spot: spot, Addr: c.endpoint(slices.Index(f.Zones, z))}}
	now := time.Now()
	c.all = append(c.all, &rented{m: m, at: now, up: now.Add(boot)})
	time.AfterFunc(boot, func() {
		m.mu.Lock()
		gone := m.gone
		if !gone {
			m.Boot()
		}
		m.mu.Unlock()
		if !gone {
			c.Started(m)
		}
	})
	return id
}

// racksPerZone is how many racks a zone has. Two at a time share a switch.
const racksPerZone = 4

// Topology declares, in the form of --topology, where the machines of some zones are.
func Topology(zones []wire.Zone) string {
	var b strings.Builder
	b.WriteString(`# Where the stand-ins' machines are. Their endpoints are 127.ZONE.RACK.MACHINE.
level { name: "zone" cost: 16 }
level { name: "switch" cost: 4 }
level { name: "rack" cost: 1 }
`)
	for z, zone := range zones {
		fmt.Fprintf(&b, "block {\n  name: %q\n", zone)
		for s := range racksPerZone / 2 {
			fmt.Fprintf(&b, "  block {\n    name: \"switch-%d%d\"\n", z+1, s+1)
			for r := 2*s + 1; r <= 2*s+2; r++ {
				fmt.Fprintf(&b, "    block { name: \"rack-%d%d\" prefix: \"127.%d.%d.0/24\" }\n", z+1, r, z+1, r)
			}
			b.WriteString("  }\n")
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// endpoint makes up where a zone's next machine is: on loopback, a network a rack. It is
// called 127.ZONE.RACK.MACHINE, both counted from 1.
func (c *Cloud) endpoint(zone int) string {
	if c.inZone == nil {
		c.inZone = map[int]int{}
	}
	n := c.inZone[zone]
	c.inZone[zone]++
	return fmt.Sprintf("127.%d.%d.%d:9000", zone+1, n%racksPerZone+1, n/racksPerZone%250+1)
}

// ScaleIn implements the controllers' view of the cloud.
func (c *Cloud) ScaleIn(_ context.Context, names []wire.MachineID) error {
	if err := c.travel(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.all {
		if slices.Contains(names, r.m.Type.ID) && r.deleted.IsZero() {
			r.deleted = time.Now()
			r.m.Destroy()
		}
	}
	return nil
}

// Take takes a spot machine back without notice and returns whether it was up.
func (c *Cloud) Take(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.all {
		if r.m.Type.Spot && r.deleted.IsZero() {
			if n--; n < 0 {
				r.deleted = time.Now()
				r.m.Destroy()
				return
			}
		}
	}
}

// Up lists the machines that are up.
func (c *Cloud) Up() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Machine
	for _, r := range c.all {
		if r.deleted.IsZero() && !time.Now().Before(r.up) {
			out = append(out, r.m)
		}
	}
	return out
}

// List implements the controllers' view of the cloud, as it was a lag ago.
func (c *Cloud) List(context.Context) ([]wire.ListedMachine, error) {
	if err := c.travel(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	then := time.Now().Add(-c.Lag)
	var out []wire.ListedMachine
	for _, r := range c.all {
		if r.at.After(then) || !r.deleted.IsZero() && r.deleted.Before(then) {
			continue
		}
		l := r.m.Type
		l.State, l.Age = wire.MachineRunning, wire.Seconds(then.Sub(r.at).Seconds())
		if r.up.After(then) {
			l.State = wire.MachineBooting
		}
		out = append(out, l)
	}
	return out, nil
}
