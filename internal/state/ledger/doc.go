// Package ledger holds the replicated records of the scheduler and their legal transitions.
//
// # Overview
//
// The key-value store is the only source of truth (docs/DESIGN.md, "Safety"). A [Ledger] is one
// controller's in-memory copy of the records: [Ledger.Apply] takes one [Event] a time from the
// first read or from the watch, and keeps the indices that the rest of the controller reads (claims
// by machine, usage by team, jobs by gallery, recent cancellations). It may lag behind the store.
//
// A [Transaction] is one compare-and-swap on the store. Its methods are the transitions: submit,
// cancel, claim, release, complete, preempt, machine phases, galleries, workflows, archive. Each
// checks its rule against the ledger, adds the changed records, and adds the version of every
// record that the decision was read from to the conditions. [Transaction.Request] returns the
// request; the ledger itself changes only when the committed records come back as events.
//
// # Main types
//
//   - [Ledger]: the records as last seen, and their indices.
//   - [Transaction]: a set of transitions that commits as a whole or not at all.
//   - [Job], [TaskRange], [Claim], [HeldClaim]: a job, the tasks of it that share a record, and which
//     machine may run them.
//   - [Workflow], [Gallery], [PolicyRecord]: the other records with a life cycle.
//   - [FinalRecord]: what the archive keeps of a finished job, outside of the ledger.
//   - [Verify]: checks a full set of records against the invariants.
//
// # Invariants
//
//   - A task is claimed before it is started, at most once, and the claim goes only on proof that
//     the task no longer runs. Every attempt number is given out once.
//   - Done and cancelled are final for jobs; done and cancelled for workflows; kept, broken and
//     withdrawn for galleries. An archived name is never accepted again.
//   - A machine in a phase takes no new claim, and phases only advance.
//   - The tasks of a gang are claimed together, under one attempt.
//   - The claims of a team never exceed its limit: each start of a limited team rewrites the
//     team's record, so that two starts which were decided from the same sum conflict.
//   - At every revision a finished job is either on record or in the archive, and the archive's
//     filter contains every archived name.
//   - Every record fits the store's limit for a value, however its tasks end.
//
// # Locking
//
// A Ledger and its transactions are not safe for concurrent use. Package watchcache guards the
// ledger; what a method returns may be read only under that lock unless it is a copy.
//
// # What this package must not do
//
// It does no I/O, reads no clock, starts no goroutine and decides no policy: where a task should run
// belongs to the scheduler, when a transaction is sent to the committer. Records must not be
// written other than by a Transaction, and no transition may omit the condition on a record that
// it was decided from. Keys and tags are a stored format: they never change without a new format
// (see [FormatRecord]).
package ledger
