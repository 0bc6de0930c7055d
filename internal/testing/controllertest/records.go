package controllertest

import (
	"fmt"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// AddJob adds the record of an active job without claims to the ledger, and returns the job.
func AddJob(l *ledger.Ledger, i int, shape wire.Shape, tasks int) *ledger.Job {
	id := wire.JobID(fmt.Sprintf("wk-%06d", i))
	l.Apply(ledger.Event{
		Key:     "mm1/j/" + string(id),
		Version: wire.Revision(i + 1),
		Value: fmt.Appendf(
			nil,
			`{"spec":{"id":"%s","pieces":%d,"shape":"%s","owner":"free","cores":1},"at":1,"a":1}`,
			id,
			tasks,
			shape,
		),
	})
	return l.Job(id)
}

// Answer returns a peer's response to a probe that was sent at asked. contact is the time since the peer last
// synced with the state service, and cancelled the revision up to which it knows cancellations.
func Answer(
	member wire.MemberID,
	asked time.Time,
	cancelled wire.Revision,
	loaded bool,
	contact time.Duration,
) peer.Response {
	return peer.Response{AsOf: asked, Status: peer.Status{Version: peer.Version, Member: member, Loaded: loaded,
		LastCancellation: cancelled, SyncAgeMS: contact.Milliseconds()}}
}
