package reconcile

import (
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// A machine may be deaf: its reports arrive, the answers to them don't. Nothing that is sent there
// begins, its lease ends though it is heard, and it looks free all the while. It shows by what does
// not follow from answers: the token that they carried, the tasks that they started, the session
// that they should have kept up. From then on nothing is placed there until it has shown a token
// that it can only have from a later answer.

// missedToDoubt is after how many answers in a row that had no effect a machine counts as deaf: a
// single one may be lost by itself.
const missedToDoubt = 2

// hearing is what is known of whether answers arrive.
type hearing struct {
	tally  wire.HeartbeatSequence // of the report of this session that was answered last; 0: none
	at     time.Time              // when that report came
	token  wire.FencingToken      // that the answer carried
	missed int                    // answers in a row that had no effect
	deaf   bool
	since  time.Time         // it has been found to be deaf
	shown  wire.FencingToken // the highest token that it had seen when it was found to be deaf
}

// ObserveReachable notes that the report taken last was answered, and when it came.
func (w *Worker) ObserveReachable(at time.Time) {
	w.hears.tally, w.hears.at, w.hears.token = w.Sequence, at, w.CommandToken
}

// Unreachable reports whether answers to the machine's reports are believed not to arrive.
func (w *Worker) Unreachable() bool { return w.hears.deaf }

// UnreachableFor is for how long that has been believed, 0 if it is not.
func (w *Worker) UnreachableFor(now time.Time) time.Duration {
	if !w.hears.deaf {
		return 0
	}
	return max(time.Millisecond, now.Sub(w.hears.since))
}

// listens judges by a report whether the answers to earlier ones arrived.
func (w *Worker) listens(
	r *wire.Heartbeat,
	held []ledger.HeldClaim,
	there map[claimID]*wire.TaskStatus,
	now time.Time,
) {
	h := &w.hears
	switch {
	case h.deaf:
		if r.FencingToken > h.shown {
			h.deaf, h.missed = false, 0
		}
		return
	case h.tally == 0:
		return
	case r.FencingToken > h.token:
		h.missed = 0 // it has been elsewhere
		return
	case r.FencingToken == h.token && !w.missesStart(held, there):
		h.missed = 0
		return
	}
	if h.missed++; h.missed >= missedToDoubt {
		w.doubt(r, now)
	}
}

// missesStart reports whether a start that went out with an answer has not become a task.
func (w *Worker) missesStart(held []ledger.HeldClaim, there map[claimID]*wire.TaskStatus) bool {
	for _, c := range held {
		if c.Token != w.hears.token || !w.wanted(c) {
			continue
		}
		for i := range c.Count {
			id := claimID{wire.TaskID{Job: c.Job.ID, Index: c.First + wire.TaskIndex(i)}, c.Attempt}
			if sent, ok := w.sent[id]; ok && sent <= w.hears.tally && there[id] == nil {
				return true
			}
		}
	}
	return false
}

// LeaseExpired judges a report that begins a new session: within a lease of a report that was answered
// none begins, but where the answer did not arrive. sure is a lease, less what a report may be old
// when it comes.
func (w *Worker) LeaseExpired(r *wire.Heartbeat, now time.Time, sure time.Duration) {
	if w.Session != 0 && r.Epoch > w.Session && !w.hears.at.IsZero() && now.Sub(w.hears.at) < sure {
		w.doubt(r, now)
	}
}

func (w *Worker) doubt(r *wire.Heartbeat, now time.Time) {
	if !w.hears.deaf {
		w.hears.since = now
	}
	w.hears.deaf, w.hears.shown = true, r.FencingToken
}

// ProvesAbsence reports whether a token, if the machine shows it, proves that it hears.
func (w *Worker) ProvesAbsence(t wire.FencingToken) bool { return !w.hears.deaf || t > w.hears.shown }
