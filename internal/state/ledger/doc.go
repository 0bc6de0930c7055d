// Package ledger holds the scheduler's replicated records and the state transitions that are allowed on them.
//
// # Overview
//
// The key-value store is the only source of truth (docs/DESIGN.md, "Safety"). A [Ledger] is one
// controller's in-memory copy of the records: [Ledger.Apply] takes one [Event] at a time from the
// initial read or from the watch, and maintains the indices that the rest of the controller reads
// (claims by machine, usage by team, jobs by gallery, recent cancellations). It may lag behind the
// store.
//
// A [Transaction] is one compare-and-swap on the store. Its methods are the transitions: submit,
// cancel, claim, release, complete, preempt, machine phases, galleries, workflows, archive. Each
// checks its preconditions against the ledger, adds the changed records, and adds the version of
// every record that the decision was based on to the conditions. [Transaction.Request] returns the
// request; the ledger itself changes only when the committed records come back as events.
//
// # Main types
//
//   - [Ledger]: the records as last seen, and their indices.
//   - [Transaction]: a set of transitions that commits atomically.
//   - [Job], [TaskRange], [Claim], [HeldClaim]: a job, a range of its tasks that share a record, and
//     the machines that may run them.
//   - [Workflow], [Gallery], [PolicyRecord]: the other records with a life cycle. A gallery is a
//     group of jobs with a common deadline.
//   - [FinalRecord]: what the archive, which is not part of the ledger, keeps of a finished job.
//   - [Verify]: checks a full set of records against the invariants.
//
// # Invariants
//
//   - A task is claimed before it is started, has at most one claim, and is released only on proof
//     that it no longer runs. Every attempt number is assigned once.
//   - Done and cancelled are final for jobs; done and cancelled for workflows; kept, broken and
//     withdrawn for galleries. An archived name is never accepted again.
//   - A machine in a phase takes no new claim, and phases only advance.
//   - The tasks of a gang are claimed together, under one attempt.
//   - The claims of a team never exceed its quota: each start of a team with a quota rewrites the
//     team's record, so that two starts which were decided from the same sum conflict.
//   - At every revision a finished job is either on record or in the archive, and the archive's
//     filter contains every archived name.
//   - Every record fits the store's value size limit, in whatever order its tasks end.
//
// # Locking
//
// A Ledger and its transactions are not safe for concurrent use. Package watchcache guards the
// ledger with a lock; what a method returns may be read only under that lock unless it is a copy.
//
// # What this package must not do
//
// It does no I/O, reads no clock, starts no goroutine and makes no policy decisions: the scheduler
// decides where a task runs, and the committer when a transaction is sent. Records are written only
// by a Transaction, and no transition may omit the condition on a record that it was decided from.
// Keys and JSON tags are a stored format: they change only with a new record format (see
// [FormatRecord]).
package ledger
