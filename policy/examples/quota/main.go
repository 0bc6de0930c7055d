// Command quota is an example of a plug-in that decides on admission: it defers a team's submissions
// beyond the guarantee while the team has 1000 or more waiting tasks. The order of jobs is the built-in
// one.
package main

import "maddermill/policy"

// maxWaitingTasks is the number of a team's waiting tasks from which on submissions are deferred.
const maxWaitingTasks = 1000

func init() { policy.Admit(admit) }

func admit(a *policy.Admission) policy.Verdict {
	if !a.Guaranteed && a.TeamTasks >= maxWaitingTasks {
		return policy.PutOff
	}
	return policy.Accept
}

func main() {}
