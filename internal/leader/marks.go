package leader

import (
	"maps"
	"time"

	"maddermill/internal/state/committer"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// markLost marks the machines that are to be returned whatever is on them:
// lost, failed, faulty, or never up.
func (l *leader) markLost(now time.Time) {
	c := l.c
	c.Cache.Lock()
	defer c.Cache.Unlock()
	l.listen(now)
	for id, u := range l.units {
		if k := c.led().MachinePhase(id); k == ledger.Terminating || k == ledger.Terminated {
			continue
		}
		silent := now.Sub(u.heard)
		if s := now.Sub(l.settled); s < silent {
			silent = s // our own silence is no sign of theirs
		}
		boot := l.flavors[u.Type].Boot.Duration()
		why := ""
		switch {
		case u.State == wire.MachineFailed:
			why = "failed"
		case !u.heard.IsZero() && u.recall && silent > 2*c.set.Cluster.Workers.Report.Duration():
			why = "taken back"
		case !u.heard.IsZero() && silent > l.lostAfter(u, now):
			why = "lost"
			if now.After(l.dark[u.Zone]) {
				l.takenBack(u) // without notice
			}
		case u.heard.IsZero() && boot > 0 && now.Sub(u.hired) > l.boots.BootTimeout(u.kind(), boot) && now.Sub(l.settled) > l.c.set.Operators.LostAfter:
			why = "never came up"
		case u.faulty && l.mayJudge(u, now):
			if why = "faulty"; u.evidence != "" {
				why += ": " + u.evidence
			}
		default:
			continue
		}
		l.setMark(id, ledger.Terminating, why)
	}
}

// judgedFor is how long a machine that was returned as faulty counts against others of its kind.
const judgedFor = 30 * time.Minute

// mayJudge reports whether one more machine of a kind may be returned as faulty: where machines
// are judged by evidence never more than a share of them within a while, however they are judged.
func (l *leader) mayJudge(u *unit, now time.Time) bool {
	q := l.c.set.Operators.Quarantine
	if !q.On {
		return true
	}
	k, all := u.kind(), 0
	for _, o := range l.units {
		if o.kind() == k {
			all++
		}
	}
	list := l.judged[k]
	if list == nil {
		list = map[wire.MachineID]time.Time{}
		l.judged[k] = list
	}
	maps.DeleteFunc(list, func(_ wire.MachineID, at time.Time) bool { return now.Sub(at) > judgedFor })
	if _, known := list[u.ID]; !known && len(list) >= q.MaxQuarantined(all) {
		return false
	}
	list[u.ID] = now
	return true
}

func (l *leader) setMark(id wire.MachineID, mark ledger.MachinePhase, why string) {
	key := markKey{id, mark}
	if ch := l.marking[key]; ch != nil && ch.Pending() {
		return // on its way
	}
	l.c.log.Info("machine phase changed", "machine", id, "phase", mark, "why", why)
	ch := &committer.Change{
		Draft: func(d *ledger.Transaction) error { return d.SetMachinePhase(id, mark, why, l.version) },
	}
	if _, v := l.c.led().Leader(); v != l.version {
		return // another leads
	}
	l.c.Committer.Enqueue(ch)
	l.marking[key] = ch
}
