package ledger

import "maddermill/wire"

// teamCapacity returns how many of the job's tasks, at most max, its team's limit
// leaves room for.
func (txn *Transaction) teamCapacity(j *Job, limit int) int {
	quota, capped := txn.ledger.limits.TeamMax[j.Spec.Team]
	if !capped {
		return limit
	}
	used := txn.ledger.teamUsage[j.Spec.Team].Add(txn.teamUsage[j.Spec.Team], 1)
	return teamCapacity(quota, used, j.Need, limit)
}

func teamCapacity(quota, used, need Resources, maxTasks int) int {
	left := Resources{quota.CPU - used.CPU, quota.GPU - used.GPU, 0}
	need.Memory = 0
	if quota.CPU == 0 {
		need.CPU = 0
	}
	if quota.GPU == 0 {
		need.GPU = 0
	}
	return max(0, left.Times(need, maxTasks))
}

// RemainingTeamQuota returns how many of the job's tasks its team's limit leaves room
// for, beside its claims and extra.
func (l *Ledger) RemainingTeamQuota(j *Job, extra Resources, maxTasks int) int {
	quota, capped := l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return maxTasks
	}
	return teamCapacity(quota, l.teamUsage[j.Spec.Team].Add(extra, 1), j.Need, maxTasks)
}

// addTeamUse makes starts of a capped team exclude each other: what a team uses
// is the sum of its claims, which is complete up to the version of this record. Starts that need
// nothing of what is limited change no sum that a limit is held against.
func (txn *Transaction) addTeamUse(j *Job, n int, by wire.FencingToken) {
	team := j.Spec.Team
	txn.teamUsage[team] = txn.teamUsage[team].Add(j.Need, n)
	if txn.ledger.limits.caps(team, j.Need) {
		txn.conditions[teamKey(team)] = txn.ledger.teamVersions[team]
		txn.put(teamKey(team), teamRecord{by})
	}
}
