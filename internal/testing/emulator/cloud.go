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

// requestLatency is the latency of every request to the cloud.
const requestLatency = 50 * time.Millisecond

// racksPerZone is the number of racks in a zone. Every two racks share a switch.
const racksPerZone = 4

// maxMachinesPerRack is the number of endpoints in a rack. Once all are assigned, they are reused.
const maxMachinesPerRack = 250

// Cloud emulates the cloud provider. Its machine list is eventually consistent and lags by a fixed time.
type Cloud struct {
	World *World
	// Types are the machine types on offer.
	Types []wire.MachineType
	// Lag is how old the state is that List returns.
	Lag time.Duration
	// Lease is the duration of the workers' lease.
	Lease time.Duration
	// Most is the maximum number of machines that are rented at the same time.
	Most int
	// Run returns the run time of a task.
	Run func(wire.TaskID) time.Duration
	// Started is called with each machine once it has booted.
	Started func(*Machine)
	// Down makes the cloud refuse all requests. Once requests may arrive, change it with SetDown only.
	Down bool

	mu sync.Mutex // guards the fields below and Down; taken before Machine.mu

	nextID          int
	machinesPerZone map[int]int // rented so far, by the zone's index in the machine type
	rentals         []*rental
	scaleOuts       map[wire.ScaleOutID][]wire.MachineID // responses by request ID, as requests are idempotent
}

// rental is a rented machine. It is kept after the machine is deleted, for the lagging list.
type rental struct {
	machine *Machine
	begun   time.Time
	booted  time.Time // when the machine has booted
	deleted time.Time // zero if it is not deleted
}

// end deletes the machine. Cloud.mu is held.
func (r *rental) end() {
	r.deleted = time.Now()
	r.machine.Destroy()
}

// transit sleeps for the latency of a request, and fails with cloud.ErrRefused during an outage. It
// must not be called with a lock held: a fake clock does not advance while a goroutine waits for a mutex.
func (c *Cloud) transit() error {
	time.Sleep(requestLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		return cloud.ErrRefused
	}
	return nil
}

// SetDown starts or ends an outage, during which the cloud refuses all requests.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	c.Down = down
	c.mu.Unlock()
}

// MachineTypes returns the machine types on offer.
func (c *Cloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	return c.Types, c.transit()
}

// ScaleOut rents machines, fewer than requested if capacity runs out, and returns their IDs. A
// repeated request gets the same response. It fails with cloud.ErrNoCapacity if it can't rent any.
func (c *Cloud) ScaleOut(_ context.Context, request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	if err := c.transit(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.scaleOuts[request.Request]; ok {
		return old, nil
	}
	var ids []wire.MachineID
	for range request.Count {
		if c.running() >= c.Most {
			break
		}
		bootTime := c.machineType(request.Type).Boot.Duration()
		ids = append(ids, c.rent(request.Type, request.Zone, request.Spot, bootTime))
	}
	if len(ids) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	if c.scaleOuts == nil {
		c.scaleOuts = map[wire.ScaleOutID][]wire.MachineID{}
	}
	c.scaleOuts[request.Request] = ids
	return ids, nil
}

// running returns the number of machines that are not deleted. c.mu is held.
func (c *Cloud) running() int {
	n := 0
	for _, r := range c.rentals {
		if r.deleted.IsZero() {
			n++
		}
	}
	return n
}

// machineType returns a machine type by its name, or the zero value.
func (c *Cloud) machineType(name wire.MachineTypeName) wire.MachineType {
	for _, t := range c.Types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// Add rents a machine without a request. The machine boots immediately.
func (c *Cloud) Add(t wire.MachineTypeName, z wire.Zone, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rent(t, z, spot, 0)
}

// rent adds a machine that finishes booting after a delay, and returns its ID. c.mu is held.
func (c *Cloud) rent(t wire.MachineTypeName, z wire.Zone, spot bool, boot time.Duration) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("host-%06d", c.nextID))
	c.nextID++
	machineType := c.machineType(t)
	m := &Machine{
		World: c.World,
		Type: wire.ListedMachine{
			ID:   id,
			Type: t,
			Zone: z,
			Spot: spot,
			Addr: c.endpoint(slices.Index(machineType.Zones, z)),
		},
		Lease: c.Lease,
		Run:   c.Run,
		GPUs:  machineType.GPUs,
	}
	now := time.Now()
	c.rentals = append(c.rentals, &rental{machine: m, begun: now, booted: now.Add(boot)})
	time.AfterFunc(boot, func() {
		m.mu.Lock()
		destroyed := m.destroyed
		if !destroyed {
			m.Boot()
		}
		m.mu.Unlock()
		if !destroyed {
			c.Started(m)
		}
	})
	return id
}

// Topology returns a topology file, in the format of --topology, that covers the machines of the given zones.
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

// endpoint returns the address of the next machine in a zone: 127.ZONE.RACK.MACHINE, with all numbers
// counted from 1, so that each rack is a subnet of its own. c.mu is held.
func (c *Cloud) endpoint(zone int) string {
	if c.machinesPerZone == nil {
		c.machinesPerZone = map[int]int{}
	}
	n := c.machinesPerZone[zone]
	c.machinesPerZone[zone]++
	return fmt.Sprintf("127.%d.%d.%d:9000", zone+1, n%racksPerZone+1, n/racksPerZone%maxMachinesPerRack+1)
}

// ScaleIn deletes machines. It ignores IDs that are unknown or already deleted.
func (c *Cloud) ScaleIn(_ context.Context, ids []wire.MachineID) error {
	if err := c.transit(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rentals {
		if slices.Contains(ids, r.machine.Type.ID) && r.deleted.IsZero() {
			r.end()
		}
	}
	return nil
}

// Take reclaims the nth of the remaining spot machines, counted from 0, without notice.
func (c *Cloud) Take(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rentals {
		if r.machine.Type.Spot && r.deleted.IsZero() {
			if n--; n < 0 {
				r.end()
				return
			}
		}
	}
}

// Up returns the machines that have booted and are not deleted.
func (c *Cloud) Up() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Machine
	for _, r := range c.rentals {
		if r.deleted.IsZero() && !time.Now().Before(r.booted) {
			out = append(out, r.machine)
		}
	}
	return out
}

// List returns the machines as they were Lag ago.
func (c *Cloud) List(context.Context) ([]wire.ListedMachine, error) {
	if err := c.transit(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	then := time.Now().Add(-c.Lag)
	var out []wire.ListedMachine
	for _, r := range c.rentals {
		if r.begun.After(then) || !r.deleted.IsZero() && r.deleted.Before(then) {
			continue
		}
		l := r.machine.Type
		l.State, l.Age = wire.MachineRunning, wire.Seconds(then.Sub(r.begun).Seconds())
		if r.booted.After(then) {
			l.State = wire.MachineBooting
		}
		out = append(out, l)
	}
	return out, nil
}
