package ledger

import (
	"maddermill/wire"
)

// teamRoom returns how many of the job's tasks, at most max, its team's limit
// leaves room for.
func (d *Transaction) teamRoom(j *Job, max int) int {
	limit, capped := d.l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return max
	}
	used := d.l.usage[j.Spec.Team].Add(d.usage[j.Spec.Team], 1)
	return teamRoom(limit, used, j.Need, max)
}

func teamRoom(limit, used, need Resources, most int) int {
	left := Resources{limit.CPU - used.CPU, limit.GPU - used.GPU, 0}
	need.Memory = 0
	if limit.CPU == 0 {
		need.CPU = 0
	}
	if limit.GPU == 0 {
		need.GPU = 0
	}
	return max(0, left.Times(need, most))
}

// RemainingTeamQuota returns how many of the job's tasks its team's limit leaves room
// for, beside its claims and extra.
func (l *Ledger) RemainingTeamQuota(j *Job, extra Resources, most int) int {
	limit, capped := l.limits.TeamMax[j.Spec.Team]
	if !capped {
		return most
	}
	return teamRoom(limit, l.usage[j.Spec.Team].Add(extra, 1), j.Need, most)
}

// touchTeam makes starts of a capped team exclude each other: what a team uses
// is the sum of its claims, which is complete up to the version of this record. Starts that need
// nothing of what is limited change no sum that a limit is held against.
func (d *Transaction) touchTeam(j *Job, n int, by wire.FencingToken) {
	team := j.Spec.Team
	d.usage[team] = d.usage[team].Add(j.Need, n)
	if d.l.limits.binds(team, j.Need) {
		d.conds[teamKey(team)] = d.l.teamVer[team]
		d.put(teamKey(team), teamRecord{by})
	}
}
