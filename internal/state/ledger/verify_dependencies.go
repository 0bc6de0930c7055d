package ledger

import "maddermill/wire"

// Colours of jobs in the search for cycles.
type visit uint8

const (
	unvisited visit = iota
	onPath          // of the search
	visited
)

// checkDependencies checks that no active job needs itself through others, since users can only name jobs that
// were accepted before, and that what it names is on record or may be archived.
func (v *verifier) checkDependencies() {
	visits := map[wire.JobID]visit{}
	for id := range v.ledger.active {
		v.visitDependencies(id, visits)
	}
	for id := range v.ledger.dependencies.missing {
		if may, known := v.ledger.MayBeArchived(id); known && !may {
			for dependent := range v.ledger.dependencies.dependents[id] {
				v.report(jobKey(dependent), "awaits %s, which is neither on record nor archived", id)
			}
		}
	}
}

// visitDependencies follows what an active job names, depth first.
func (v *verifier) visitDependencies(from wire.JobID, visits map[wire.JobID]visit) {
	type frame struct {
		id   wire.JobID
		next int // of its dependencies
	}
	if visits[from] != unvisited {
		return
	}
	visits[from] = onPath
	for path := []frame{{id: from}}; len(path) > 0; {
		top := &path[len(path)-1]
		job := v.ledger.active[top.id]
		if job == nil || top.next == len(job.Spec.Dependencies) {
			visits[top.id] = visited
			path = path[:len(path)-1]
			continue
		}
		id := job.Spec.Dependencies[top.next]
		top.next++
		switch visits[id] {
		case onPath:
			v.report(jobKey(top.id), "awaits %s, which needs it itself", id)
		case unvisited:
			visits[id] = onPath
			path = append(path, frame{id: id})
		case visited:
		}
	}
}
