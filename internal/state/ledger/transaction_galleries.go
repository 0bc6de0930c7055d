package ledger

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"maddermill/wire"
)

// UpgradeRegister puts a newer edition of the operators' register in force.
func (txn *Transaction) UpgradeRegister(revision int) error {
	if revision <= txn.ledger.register.Revision || txn.ledger.archived.format.Format < GalleryFormat {
		return refuse("upgrade register", strconv.Itoa(revision))
	}
	return txn.atomically(func() error {
		txn.conditions[RegisterKey] = txn.ledger.registerVersion
		txn.put(RegisterKey, registerRecord{revision})
		return nil
	})
}

// requireRegister adds the condition that an edition of the register is in force.
func (txn *Transaction) requireRegister(revision int) error {
	if txn.ledger.register.Revision != revision {
		return refuse("require register", strconv.Itoa(revision))
	}
	txn.conditions[RegisterKey] = txn.ledger.registerVersion
	return nil
}

// SetTime sets the time that transitions record.
func (txn *Transaction) SetTime(now wire.UnixMillis) { txn.now = now }

// completeJob makes a job done, and records when if it belongs to a gallery or others may wait for it.
func (txn *Transaction) completeJob(update *jobUpdate) {
	update.state = Done
	if update.gallery != "" || txn.ledger.archived.format.Format >= PipelineFormat {
		update.ended = txn.now
	}
}

// assignGallery adds a job that belongs to no gallery to one that has not ended, and reports whether it did.
func (txn *Transaction) assignGallery(update *jobUpdate, g *Gallery) bool {
	if update.gallery != "" || g.Version == 0 || g.Ended() || txn.ledger.archived.format.Format < GalleryFormat {
		return false
	}
	update.gallery = g.Name
	txn.conditions[galleryKey(g.Name)] = g.Version
	return true
}

// AssignGallery adds a job to a gallery that was not known when the job was accepted.
func (txn *Transaction) AssignGallery(j *Job, g *Gallery) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !txn.assignGallery(update, g) {
			return refuse("assign gallery", j.ID)
		}
		txn.putJob(update)
		return nil
	})
}

// OpenGallery adds a gallery with its first promise, as an edition of the register has it. A name is never
// used twice.
func (txn *Transaction) OpenGallery(n wire.GalleryName, team wire.Team, p Promise, register int) error {
	if !n.Valid() || txn.ledger.Gallery(n) != nil || txn.ledger.archived.format.Format < GalleryFormat {
		return refuse("open gallery", n)
	}
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	return txn.atomically(func() error {
		txn.conditions[galleryKey(n)], txn.conditions[FinalGalleryKey(n)] = 0, 0
		txn.put(galleryKey(n), GalleryRecord{Team: team, Promises: []Promise{p.truncated()}, Since: p.At, Register: register})
		return nil
	})
}

// truncated returns the promise with a reason that fits its record.
func (p Promise) truncated() Promise {
	p.Why = truncateReason(p.Why)
	return p
}

// truncateReason cuts a reason so that it takes at most maxReasonBytes as JSON.
func truncateReason(why string) string {
	why = strings.ToValidUTF8(why, "?")
	for {
		b, _ := json.Marshal(why) // a string never fails
		if len(b) <= maxReasonBytes+2 {
			return why
		}
		_, last := utf8.DecodeLastRuneInString(why)
		why = why[:len(why)-last]
	}
}

// ChangeDate adds a promise with another date, as an edition of the register has it. It returns
// ErrManyDates if the record has no room for another.
func (txn *Transaction) ChangeDate(g *Gallery, p Promise, register int) error {
	switch {
	case g.Ended() || p.Date == g.Date():
		return refuse("change date of gallery", g.Name)
	case len(g.Promises) >= maxPromises:
		return ErrManyDates
	}
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	r := g.GalleryRecord
	r.Promises = append(slices.Clone(r.Promises), p.truncated())
	r.Register = register
	return txn.writeGallery(g, r)
}

// WithdrawGallery ends a gallery that an edition of the register no longer has.
func (txn *Transaction) WithdrawGallery(g *Gallery, why string, at wire.UnixMillis, register int) error {
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	return txn.MoveGallery(g, GalleryWithdrawn, why, at)
}

// MoveGallery moves a gallery to another state. In a final state its record has the counts of its jobs.
func (txn *Transaction) MoveGallery(g *Gallery, to GalleryState, why string, at wire.UnixMillis) error {
	if !slices.Contains(galleryTransitions[g.State], to) {
		return refuse("move gallery", g.Name)
	}
	r := g.GalleryRecord
	r.State, r.Why, r.Since = to, truncateReason(why), at
	if len(galleryTransitions[to]) == 0 {
		count := g.Count
		r.Jobs = &count
	}
	return txn.writeGallery(g, r)
}

// writeGallery replaces the record of a gallery.
func (txn *Transaction) writeGallery(g *Gallery, r GalleryRecord) error {
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.put(galleryKey(g.Name), r)
		return nil
	})
}
