package ledger

import "maddermill/wire"

// teamCapacity returns how many more tasks of a job, at most limit, its team's quota allows in addition to the
// claims in the ledger and in the transaction.
func (txn *Transaction) teamCapacity(j *Job, limit int) int {
	quota, capped := txn.ledger.limits.TeamMax[j.Spec.Team]
	if !capped {
		return limit
	}
	used := txn.ledger.teamUsage[j.Spec.Team].Add(txn.teamUsage[j.Spec.Team], 1)
	return quotaCapacity(quota, used, j.Need, limit)
}

// quotaCapacity returns how many tasks that need the given resources, at most maxTasks, a quota allows in
// addition to what is used. An amount of 0 in the quota is unlimited, and memory is always unlimited.
func quotaCapacity(quota, used, need Resources, maxTasks int) int {
	free := Resources{quota.CPU - used.CPU, quota.GPU - used.GPU, 0}
	need.Memory = 0
	if quota.CPU == 0 {
		need.CPU = 0
	}
	if quota.GPU == 0 {
		need.GPU = 0
	}
	return max(0, free.CountFitting(need, maxTasks))
}

// RemainingTeamQuota returns how many more tasks of a job, at most maxTasks, its team's quota allows in addition
// to the team's claims and extra.
func (l *Ledger) RemainingTeamQuota(j *Job, extra Resources, maxTasks int) int {
	quota, capped := l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return maxTasks
	}
	return quotaCapacity(quota, l.teamUsage[j.Spec.Team].Add(extra, 1), j.Need, maxTasks)
}

// addTeamUsage adds n claimed tasks to the team's usage, and makes concurrent claims of a team with a quota
// conflict. The usage is the sum of the claims, which is complete up to the version of the team's record, and
// every claim rewrites that record. Claims that need no limited resource don't count against the quota and
// don't rewrite the record.
func (txn *Transaction) addTeamUsage(j *Job, n int, by wire.FencingToken) {
	team := j.Spec.Team
	txn.teamUsage[team] = txn.teamUsage[team].Add(j.Need, n)
	if txn.ledger.limits.constrains(team, j.Need) {
		txn.conditions[teamKey(team)] = txn.ledger.teamVersions[team]
		txn.put(teamKey(team), teamRecord{by})
	}
}
