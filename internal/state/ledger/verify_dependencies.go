package ledger

import "maddermill/wire"

// visit is the state of a job in the depth-first search for dependency cycles.
type visit uint8

const (
	unvisited visit = iota
	onPath          // on the current search path
	visited
)

// checkDependencies checks that the dependencies of active jobs have no cycle, which can't come about since a job
// can only depend on jobs that were accepted before, and that they are on record or may be archived.
func (v *verifier) checkDependencies() {
	visits := map[wire.JobID]visit{}
	for id := range v.ledger.active {
		v.visitDependencies(id, visits)
	}
	for id := range v.ledger.dependencies.missing {
		if may, known := v.ledger.MayBeArchived(id); known && !may {
			for dependent := range v.ledger.dependencies.dependents[id] {
				v.report(jobKey(dependent), "depends on %s, which is neither on record nor archived", id)
			}
		}
	}
}

// visitDependencies searches the dependencies of an active job for cycles, depth first.
func (v *verifier) visitDependencies(from wire.JobID, visits map[wire.JobID]visit) {
	type frame struct {
		id   wire.JobID
		next int // index of the next dependency to visit
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
			v.report(jobKey(top.id), "dependency cycle: depends on %s, which depends on this job", id)
		case unvisited:
			visits[id] = onPath
			path = append(path, frame{id: id})
		case visited:
		}
	}
}
