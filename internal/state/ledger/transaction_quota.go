package ledger

import "maddermill/wire"

// teamCapacity returns how many of a job's tasks, at most limit, its team's quota has room for, beside the
// claims of the ledger and of the transaction.
func (txn *Transaction) teamCapacity(j *Job, limit int) int {
	quota, capped := txn.ledger.limits.TeamMax[j.Spec.Team]
	if !capped {
		return limit
	}
	used := txn.ledger.teamUsage[j.Spec.Team].Add(txn.teamUsage[j.Spec.Team], 1)
	return teamCapacity(quota, used, j.Need, limit)
}

// teamCapacity returns how many tasks of a need, at most maxTasks, a quota has room for beside what is
// used. An amount of 0 is unlimited; memory always is.
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

// RemainingTeamQuota returns how many of a job's tasks, at most maxTasks, its team's quota has room for,
// beside the team's claims and extra.
func (l *Ledger) RemainingTeamQuota(j *Job, extra Resources, maxTasks int) int {
	quota, capped := l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return maxTasks
	}
	return teamCapacity(quota, l.teamUsage[j.Spec.Team].Add(extra, 1), j.Need, maxTasks)
}

// addTeamUse adds n claimed tasks to the team's usage. It makes starts of a limited team conflict: the usage
// is the sum of the claims, which is complete up to the version of the team's record, and every start
// rewrites that record. Starts that need nothing of what is limited don't change a limited sum.
func (txn *Transaction) addTeamUse(j *Job, n int, by wire.FencingToken) {
	team := j.Spec.Team
	txn.teamUsage[team] = txn.teamUsage[team].Add(j.Need, n)
	if txn.ledger.limits.caps(team, j.Need) {
		txn.conditions[teamKey(team)] = txn.ledger.teamVersions[team]
		txn.put(teamKey(team), teamRecord{by})
	}
}
