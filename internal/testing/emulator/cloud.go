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

// requestTime is how long every request to the cloud takes.
const requestTime = 50 * time.Millisecond

// racksPerZone is how many racks a zone has. Two at a time share a switch.
const racksPerZone = 4

// maxMachinesPerRack is how many endpoints a rack has; they are then used again.
const maxMachinesPerRack = 250

// Cloud emulates the cloud. Its machine list is eventually consistent: it lags.
type Cloud struct {
	World *World
	// Types are the machine types on offer.
	Types []wire.MachineType
	// Lag is how far the list lags behind.
	Lag time.Duration
	// Lease is the workers' lease.
	Lease time.Duration
	// Most is the largest number of machines at a time.
	Most int
	// Run returns how long a task runs.
	Run func(wire.TaskID) time.Duration
	// Started is called with every machine that has booted.
	Started func(*Machine)
	// Down has the cloud refuse every request. Use SetDown while the cloud is in use.
	Down bool

	mu sync.Mutex // guards the fields below and Down; taken before Machine.mu

	nextID          int
	machinesPerZone map[int]int // ever rented, by the zone's index in its machine type
	rentals         []*rental
	scaleOuts       map[wire.ScaleOutID][]wire.MachineID // answered requests, which are idempotent
}

// rental is a machine that was rented, also after its end.
type rental struct {
	machine *Machine
	begun   time.Time
	booted  time.Time // when the boot ends
	deleted time.Time // zero: not yet
}

// end deletes the machine. Cloud.mu is held.
func (r *rental) end() {
	r.deleted = time.Now()
	r.machine.Destroy()
}

// transit takes a request's time, and fails with cloud.ErrRefused while the cloud is down. It
// must not be called under a lock: a fake clock does not advance while anyone waits for one.
func (c *Cloud) transit() error {
	time.Sleep(requestTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Down {
		return cloud.ErrRefused
	}
	return nil
}

// SetDown begins or ends an outage, in which the cloud refuses every request.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	c.Down = down
	c.mu.Unlock()
}

// MachineTypes returns the machine types on offer.
func (c *Cloud) MachineTypes(context.Context) ([]wire.MachineType, error) {
	return c.Types, c.transit()
}

// ScaleOut rents machines, fewer than asked for if there are no more, and returns their IDs. A
// repeated request gets the same answer. It fails with cloud.ErrNoCapacity if there are none.
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

// Add rents a machine without a request, booted at once.
func (c *Cloud) Add(t wire.MachineTypeName, z wire.Zone, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rent(t, z, spot, 0)
}

// rent adds a machine and boots it. c.mu is held.
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

// Topology returns a topology file, in the format of --topology, of the machines in some zones.
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

// endpoint returns the address of the next machine in a zone: 127.ZONE.RACK.MACHINE, each counted
// from 1, so that each rack is a network of its own. c.mu is held.
func (c *Cloud) endpoint(zone int) string {
	if c.machinesPerZone == nil {
		c.machinesPerZone = map[int]int{}
	}
	n := c.machinesPerZone[zone]
	c.machinesPerZone[zone]++
	return fmt.Sprintf("127.%d.%d.%d:9000", zone+1, n%racksPerZone+1, n/racksPerZone%maxMachinesPerRack+1)
}

// ScaleIn deletes machines; unknown and deleted ones are passed over.
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

// Take reclaims the spot machine with an index among those that are left, without notice.
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

// Up returns the machines that are booted and not deleted.
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
