package ledger

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"maddermill/wire"
)

// UpgradeRegister puts a newer edition of the register in force.
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

// requireRegister conditions a transaction on an edition of the register being in force.
func (txn *Transaction) requireRegister(revision int) error {
	if txn.ledger.register.Revision != revision {
		return refuse("require register", strconv.Itoa(revision))
	}
	txn.conditions[RegisterKey] = txn.ledger.registerVersion
	return nil
}

// SetTime tells a draft the time of day, for what notes when it came to be.
func (txn *Transaction) SetTime(now wire.UnixMillis) { txn.now = now }

// completeJob makes a job done, and notes when if it is tied to a gallery.
func (txn *Transaction) completeJob(update *jobUpdate) {
	update.state = Done
	if update.gallery != "" {
		update.ended = txn.now
	}
}

// assignGallery ties a job that is tied to none to a gallery that is not over.
func (txn *Transaction) assignGallery(update *jobUpdate, g *Gallery) bool {
	if update.gallery != "" || g.Version == 0 || g.Ended() || txn.ledger.archived.format.Format < GalleryFormat {
		return false
	}
	update.gallery = g.Name
	txn.conditions[galleryKey(g.Name)] = g.Version
	return true
}

// SubmitToGallery accepts a job that isn't known yet and ties it to a gallery in the same step; nil
// ties it to none. ErrStale: it is known, or the gallery is over.
func (txn *Transaction) SubmitToGallery(spec *wire.JobSpec, at wire.UnixMillis, g *Gallery) error {
	return txn.submit(spec, at, "", g)
}

// AssignGallery ties a job that was accepted before its gallery was known.
func (txn *Transaction) AssignGallery(j *Job, g *Gallery) error {
	return txn.atomically(func() error {
		update := txn.update(j)
		if update.state != Active || !txn.assignGallery(update, g) {
			return refuse("assign gallery", j.ID)
		}
		txn.putRange(update, 0)
		return nil
	})
}

// OpenGallery puts a gallery with its first promise on record. A name that was ever used is
// never used again.
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

func (p Promise) truncated() Promise {
	p.Why = truncateReason(p.Why)
	return p
}

// truncateReason cuts a reason to what it may take of a record, as it is written there.
func truncateReason(why string) string {
	why = strings.ToValidUTF8(why, "?")
	for {
		b, _ := json.Marshal(why)
		if len(b) <= maxReasonBytes+2 {
			return why
		}
		_, last := utf8.DecodeLastRuneInString(why)
		why = why[:len(why)-last]
	}
}

// ChangeDate adds a promise, as an edition of the register has it.
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

// MoveGallery moves a gallery to another state. One that is over has its counts on record.
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

func (txn *Transaction) writeGallery(g *Gallery, r GalleryRecord) error {
	return txn.atomically(func() error {
		txn.conditions[galleryKey(g.Name)] = g.Version
		txn.put(galleryKey(g.Name), r)
		return nil
	})
}
