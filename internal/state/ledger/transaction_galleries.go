package ledger

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"maddermill/wire"
)

// UpgradeRegister records that a newer revision of the operators' register is in force.
func (txn *Transaction) UpgradeRegister(revision int) error {
	if revision <= txn.ledger.register.Revision || txn.ledger.archived.format.Format < GalleryFormat {
		return newPreconditionError("upgrade register", strconv.Itoa(revision))
	}
	return txn.atomically(func() error {
		txn.conditions[RegisterKey] = txn.ledger.registerVersion
		txn.put(RegisterKey, registerRecord{revision})
		return nil
	})
}

// requireRegister adds the condition that a revision of the register is in force.
func (txn *Transaction) requireRegister(revision int) error {
	if txn.ledger.register.Revision != revision {
		return newPreconditionError("require register", strconv.Itoa(revision))
	}
	txn.conditions[RegisterKey] = txn.ledger.registerVersion
	return nil
}

// SetTime sets the time that transitions record.
func (txn *Transaction) SetTime(now wire.UnixMillis) { txn.now = now }

// completeJob sets a job's state to done, and records the time if it belongs to a gallery or other jobs may
// depend on it.
func (txn *Transaction) completeJob(update *jobUpdate) {
	update.state = Done
	if update.gallery != "" || txn.ledger.archived.format.Format >= PipelineFormat {
		update.ended = txn.now
	}
}

// assignGallery adds a job to a gallery if it belongs to none and the gallery has not ended, and reports
// whether it did.
func (txn *Transaction) assignGallery(update *jobUpdate, g *Gallery) bool {
	if update.gallery != "" || g.Version == 0 || g.Ended() || txn.ledger.archived.format.Format < GalleryFormat {
		return false
	}
	update.gallery = g.Name
	txn.conditions[galleryKey(g.Name)] = g.Version
	return true
}

// AssignGallery adds a job to a gallery that did not exist when the job was accepted.
func (txn *Transaction) AssignGallery(j *Job, g *Gallery) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !txn.assignGallery(update, g) {
			return newPreconditionError("assign gallery", j.ID)
		}
		txn.putJob(update)
		return nil
	})
}

// OpenGallery adds a gallery with its first promised date, as given in a revision of the register. A gallery's
// name is never used again, even after it was archived.
func (txn *Transaction) OpenGallery(n wire.GalleryName, team wire.Team, p Promise, register int) error {
	if !n.Valid() || txn.ledger.Gallery(n) != nil || txn.ledger.archived.format.Format < GalleryFormat {
		return newPreconditionError("open gallery", n)
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

// truncated returns the promise with its reason cut to the maximum length.
func (p Promise) truncated() Promise {
	p.Reason = truncateReason(p.Reason)
	return p
}

// truncateReason cuts a reason to at most maxReasonBytes when encoded as JSON.
func truncateReason(why string) string {
	why = strings.ToValidUTF8(why, "?")
	for {
		b, _ := json.Marshal(why) // encoding a string never fails
		if len(b) <= maxReasonBytes+2 {
			return why
		}
		_, last := utf8.DecodeLastRuneInString(why)
		why = why[:len(why)-last]
	}
}

// AddPromise adds a promise with a new date, as given in a revision of the register. It returns ErrDateLimit if
// the gallery already has maxPromises promises.
func (txn *Transaction) AddPromise(g *Gallery, p Promise, register int) error {
	switch {
	case g.Ended() || p.Date == g.Date():
		return newPreconditionError("change promised date of gallery", g.Name)
	case len(g.Promises) >= maxPromises:
		return ErrDateLimit
	}
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	r := g.GalleryRecord
	r.Promises = append(slices.Clone(r.Promises), p.truncated())
	r.Register = register
	return txn.writeGallery(g, r)
}

// WithdrawGallery ends a gallery that a revision of the register no longer contains.
func (txn *Transaction) WithdrawGallery(g *Gallery, why string, at wire.UnixMillis, register int) error {
	if err := txn.requireRegister(register); err != nil {
		return err
	}
	return txn.SetGalleryState(g, GalleryWithdrawn, why, at)
}

// SetGalleryState changes the state of a gallery. On entering a final state its record stores the counts of its
// jobs.
func (txn *Transaction) SetGalleryState(g *Gallery, to GalleryState, why string, at wire.UnixMillis) error {
	if !slices.Contains(galleryTransitions[g.State], to) {
		return newPreconditionError("set gallery state", g.Name)
	}
	r := g.GalleryRecord
	r.State, r.Reason, r.Since = to, truncateReason(why), at
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
