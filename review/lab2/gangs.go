package main

import (
	"fmt"
	"time"
)

func init() { scenarios["gang"] = scenario{claims, playGang} }

// playGang hands in a gang that needs a machine for each of its tasks.
func playGang(f *fleet, u *users, trouble bool) (int, string) {
	const machines = 48
	f.cloud.capacity = map[string]int{"mapo": machines}
	f.cloud.add("mapo", machines)
	if err := f.startAll(); err != nil {
		return unfit, err.Error()
	}
	time.Sleep(6 * time.Second)
	gang := &spec{ID: "wk-000500", Workclass: "fraudgang", Owner: "saebyeok", Shape: "gang", Urgency: "high",
		Pieces: 40, Cores: 43, Accelerators: 4, RAM: 230, Bundle: "img-01", PullGB: 1, Together: true, ExpectS: 10, runS: 10}
	if trouble {
		gang.Pieces = 48
	}
	if !u.submit(gang) {
		return unfit, "the gang was not accepted"
	}
	go u.follow(gang.ID)
	status, seen := f.watchWaiting(gang)
	return status, fmt.Sprintf("%s; %d machines are up", seen, f.up())
}
