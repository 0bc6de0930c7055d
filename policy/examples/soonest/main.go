// Command soonest is an example of a plug-in that ranks machines for gangs: it prefers machines whose
// current claims end earliest, so that machines are entirely free when the gangs end.
package main

import "maddermill/policy"

func init() { policy.Prefer(soonest) }

func soonest(m *policy.Machines) []uint32 {
	out := make([]uint32, len(m.List))
	for i, x := range m.List {
		if x.BusyUntil > m.Now {
			out[i] = uint32(min(policy.MostRank, 1+(x.BusyUntil-m.Now)/1000))
		}
	}
	return out
}

func main() {}
