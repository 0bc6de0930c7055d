// Package peer carries what controllers tell each other: liveness and hints for
// placement, as CBOR frames. No rule depends on a message arriving.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"maddermill/internal/transport"
	"maddermill/wire"
)

// The versions of the frames' content that this one speaks. Who asks says the newest that
// it speaks, and is answered in the newest that both do. Fields are only ever added, and
// unknown ones passed over; a version that is raised changes what a field means.
const (
	Oldest  = 1
	Version = 2
)

// maxFrame bounds a frame; a picture of twenty thousand machines fits.
const maxFrame = 4 << 20

// Machine is a machine that a controller holds.
type Machine struct {
	ID               wire.MachineID       `cbor:"1,keyasint" json:"i"`
	Type             wire.MachineTypeName `cbor:"2,keyasint" json:"t"`
	Zone             wire.Zone            `cbor:"3,keyasint" json:"z"`
	Spot             bool                 `cbor:"4,keyasint,omitempty" json:"l,omitempty"`
	Session          wire.AgentEpoch      `cbor:"5,keyasint" json:"s"`
	Token            wire.FencingToken    `cbor:"6,keyasint" json:"k"`
	AgeMS            int64                `cbor:"7,keyasint" json:"a"` // since its last report
	Usable           bool                 `cbor:"8,keyasint,omitempty" json:"u,omitempty"`
	ReclaimMS        int64                `cbor:"9,keyasint,omitempty" json:"r,omitempty"` // ms until taken
	Faulty           bool                 `cbor:"10,keyasint,omitempty" json:"f,omitempty"`
	Images           []wire.Image         `cbor:"11,keyasint,omitempty" json:"c,omitempty"`
	Fetching         []wire.Image         `cbor:"12,keyasint,omitempty" json:"g,omitempty"`
	Endpoint         string               `cbor:"13,keyasint,omitempty" json:"e,omitempty"` // where a topology is declared
	Slow             bool                 `cbor:"14,keyasint,omitempty" json:"-"`
	QuarantineReason string               `cbor:"15,keyasint,omitempty" json:"-"` // it is judged faulty, in a few words
	UnreachableMS    int64                `cbor:"16,keyasint,omitempty" json:"-"` // since answers to its reports are believed not to arrive; 0: they do
}

// Status is a controller's picture.
type Status struct {
	Version                int             `cbor:"1,keyasint" json:"v"`
	Member                 wire.MemberID   `cbor:"2,keyasint" json:"by"`
	Boot                   int64           `cbor:"3,keyasint" json:"b"`           // tells one run of a member from the next
	Revision               wire.Revision   `cbor:"4,keyasint" json:"rev"`         // of its ledger
	Cancelled              wire.Revision   `cbor:"5,keyasint" json:"cx"`          // no cancellation it told is newer
	ContactMS              int64           `cbor:"6,keyasint" json:"ct"`          // since it last reached the state service
	Loaded                 bool            `cbor:"7,keyasint" json:"ld"`          // its ledger has been read whole
	Machines               []Machine       `cbor:"8,keyasint" json:"m,omitempty"` // that it holds
	Classes                []ClassRunTimes `cbor:"9,keyasint" json:"cl,omitempty"`
	Suspects               []Suspect       `cbor:"10,keyasint,omitempty" json:"-"` // a stored value is small
	PreemptionReservations []Reservation   `cbor:"11,keyasint,omitempty" json:"-"`
	GangPartitions         []GangPartition `cbor:"12,keyasint,omitempty" json:"-"`
	MaxVersion             int             `cbor:"13,keyasint,omitempty" json:"-"` // version that the one who asks speaks
	MaxFormat              int             `cbor:"14,keyasint,omitempty" json:"-"` // newest format of records; 0: the first
	Modules                []Module        `cbor:"15,keyasint,omitempty" json:"-"`
	Failures               []Failure       `cbor:"16,keyasint,omitempty" json:"-"`
	// What the one who asks lacks: the jobs and the workflows cancelled after the revision that it
	// said, if Whole all of them that this controller may have told of.
	Since                 wire.Revision     `cbor:"19,keyasint,omitempty" json:"-"`
	CancelledJobs         []wire.JobID      `cbor:"20,keyasint,omitempty" json:"-"`
	CancelledWorkflows    []wire.WorkflowID `cbor:"22,keyasint,omitempty" json:"-"`
	CancellationsComplete bool              `cbor:"21,keyasint,omitempty" json:"-"`
	RegisterEdition       int               `cbor:"18,keyasint,omitempty" json:"-"` // edition of the register of galleries; 0: none
	GangReservations      []Reservation     `cbor:"17,keyasint,omitempty" json:"-"` // for late gangs: nothing is stopped for it
	// Completions that workers reported and that the records may lack: of the run Boot those up to
	// number CompletedTo. Who asks says with CompletedBoot and CompletedTo which it was told.
	Completed     []Completion `cbor:"23,keyasint,omitempty" json:"-"`
	CompletedTo   uint64       `cbor:"24,keyasint,omitempty" json:"-"`
	CompletedBoot int64        `cbor:"25,keyasint,omitempty" json:"-"`
}

// Completion is a task's completion as its worker reported it.
type Completion struct {
	Job     wire.JobID      `cbor:"1,keyasint"`
	Task    wire.TaskIndex  `cbor:"2,keyasint,omitempty"`
	Attempt wire.Attempt    `cbor:"3,keyasint"`
	Machine wire.MachineID  `cbor:"4,keyasint"`
	Session wire.AgentEpoch `cbor:"5,keyasint"`
}

// Failure is a task's error on a machine that a controller held lately, where machines are judged
// by evidence.
type Failure struct {
	Job        wire.JobID     `cbor:"1,keyasint"`
	Task       wire.TaskIndex `cbor:"2,keyasint,omitempty"`
	Array      bool           `cbor:"3,keyasint,omitempty"`
	Machine    wire.MachineID `cbor:"4,keyasint"`
	Image      wire.Image     `cbor:"5,keyasint,omitempty"`
	Block      string         `cbor:"6,keyasint,omitempty"`
	DoneBefore float64        `cbor:"7,keyasint,omitempty"` // tasks that the machine did before
	At         int64          `cbor:"8,keyasint"`           // milliseconds since the epoch, by who tells
}

// Module is a plug-in's module that a controller has at hand, or can't have and why.
type Module struct {
	Hash  wire.ModuleHash `cbor:"1,keyasint"`
	Fault string          `cbor:"2,keyasint,omitempty"`
}

// GangPartition is a gang that lost mates although all its machines answer, and the innermost
// block of the declared topology that they are all in.
type GangPartition struct {
	Job   wire.JobID `cbor:"1,keyasint"`
	Block string     `cbor:"2,keyasint"`
	AgeMS int64      `cbor:"3,keyasint"`
}

// Reservation is a machine that the fleet's leader asks its holder to empty for tasks of
// a gang.
type Reservation struct {
	Machine     wire.MachineID `cbor:"1,keyasint"`
	Job         wire.JobID     `cbor:"2,keyasint"`
	Tasks       int            `cbor:"3,keyasint"`
	RemainingMS int64          `cbor:"4,keyasint"` // until the room is no longer kept
}

// Suspect is a job whose tasks failed, since so many of them were done.
type Suspect struct {
	Job       wire.JobID       `cbor:"1,keyasint"`
	Done      int              `cbor:"2,keyasint"`
	Machines  []wire.MachineID `cbor:"3,keyasint"`
	Rounds    int              `cbor:"4,keyasint"`
	BackoffMS int64            `cbor:"5,keyasint"` // until it is tried again
}

// ClassRunTimes is what a controller has seen of a class's run times, in seconds.
type ClassRunTimes struct {
	Class     wire.Class `cbor:"1,keyasint" json:"n"`
	Ran       float64    `cbor:"2,keyasint" json:"r"`
	Estimated float64    `cbor:"3,keyasint" json:"e"`
	Count     float64    `cbor:"4,keyasint" json:"c"`
}

// Answer is a peer's status with the time at which it was asked for, which is
// the latest time it can be relied on to describe.
type Answer struct {
	Status Status
	AsOf   time.Time
}

// ConfirmsCancellations reports whether who told this has told no user of a cancellation that a ledger lacks:
// one that has come as far as a revision and takes what is listed for cancelled.
func (s *Status) ConfirmsCancellations(r wire.Revision) bool {
	return s.Loaded && (s.Cancelled <= r || s.CancellationsComplete && s.Since <= r)
}

// Serve answers one connection with the status that describe gives for what a peer says of itself.
func Serve(c *transport.Conn, describe func(ask Status) Status) {
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		var ask Status
		if err := read(r, &ask); err != nil {
			return
		}
		s := describe(ask)
		s.Version = agreed(ask)
		if err := write(c, s); err != nil {
			return
		}
	}
}

// agreed is the newest version that this one and the one who asks speak. Those from before
// versions were negotiated say only the one that they speak.
func agreed(ask Status) int { return min(Version, max(ask.Version, ask.MaxVersion)) }

// Ask keeps asking a peer every interval until ctx ends. self is what is said of the one who asks.
func Ask(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	self func() Status,
	interval time.Duration,
	got func(Answer),
) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		_ = ask(ctx, d, addr, self, tick.C, got)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func ask(
	ctx context.Context,
	d *transport.Dialer,
	addr string,
	self func() Status,
	tick <-chan time.Time,
	got func(Answer),
) error {
	dialling, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	c, err := d.Dial(dialling, addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		asked := time.Now()
		q := self()
		q.Version, q.MaxVersion = Oldest, Version
		if err := write(c, q); err != nil {
			return err
		}
		c.SetReadDeadline(asked.Add(2 * time.Second))
		var s Status
		if err := read(r, &s); err != nil {
			return err
		}
		got(Answer{s, asked})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
		}
	}
}

func write(c *transport.Conn, s Status) error {
	b, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	_, err = c.Write(append(frame, b...))
	return err
}

func read(r *bufio.Reader, s *Status) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return fmt.Errorf("mesh: frame of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if err := cbor.Unmarshal(b, s); err != nil {
		return err
	}
	if s.Version < Oldest || s.Version > Version {
		return fmt.Errorf("mesh: version %d; this one speaks %d to %d", s.Version, Oldest, Version)
	}
	return nil
}
