package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"maddermill/wire"
)

// fieldErrors collects the validation errors of a file's fields, in the order of the checks.
type fieldErrors struct{ errs []error }

// add records an error for a field.
func (f *fieldErrors) add(field, reason string) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", field, reason))
}

// require records an error for a field unless ok.
func (f *fieldErrors) require(ok bool, field, reason string) {
	if !ok {
		f.add(field, reason)
	}
}

// requirePositive requires a finite number above 0.
func (f *fieldErrors) requirePositive(field string, v float64) {
	f.require(v > 0 && !math.IsInf(v, 0), field, "must be above 0")
}

// requireAddress requires an IP address with a port.
func (f *fieldErrors) requireAddress(field, v string) {
	_, err := netip.ParseAddrPort(v)
	f.require(err == nil, field, fmt.Sprintf("%q is not an address and port", v))
}

// join returns all errors joined, one per line, or nil if there are none.
func (f *fieldErrors) join() error { return errors.Join(f.errs...) }

// check validates the platform's settings and reports all errors at once.
func (s *Settings) check() error {
	var errs fieldErrors
	errs.require(s.Member != "", "member", "is missing")
	errs.requireAddress("bind", s.Bind)
	errs.requireAddress("mesh_addr", s.MeshAddr)
	errs.requireAddress("outside.cloud", s.Outside.Cloud)
	errs.requireAddress("outside.state", s.Outside.State)
	s.checkPeers(&errs)
	errs.require(s.Cluster.Count >= 1, "settings.count", "must be at least 1")
	errs.require(len(s.Cluster.Zones) > 0, "settings.zones", "is missing")
	s.checkTeams(&errs)
	s.checkRanges(&errs)
	return errs.join()
}

// checkPeers checks that each peer has a valid address and a unique name that is not this controller's.
func (s *Settings) checkPeers(errs *fieldErrors) {
	names := map[wire.MemberID]bool{s.Member: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		errs.requireAddress(field+".address", p.Addr)
		errs.require(p.Member != "" && !names[p.Member], field+".member", "is missing or a duplicate")
		names[p.Member] = true
	}
}

// checkTeams checks that team names are unique and that no guarantee exceeds its limit.
func (s *Settings) checkTeams(errs *fieldErrors) {
	names := map[wire.Team]bool{}
	for i, t := range s.Cluster.Teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		errs.require(t.Name != "" && !names[t.Name], field+".name", "is missing or a duplicate")
		names[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			errs.require(v >= 0 && !math.IsInf(v, 0), field, "has an amount below 0")
		}
		exceeds := t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax
		errs.require(!exceeds, field, "guarantees more than its limit")
	}
}

// checkSizes checks the maximum size of a value and of a transaction at the state service.
func checkSizes(errs *fieldErrors, table string, valueKB float64, txnOps int) {
	// A NaN passes the negated comparison.
	errs.require(!(valueKB < 2), table+".value_kb", "must be at least 2: a job's record needs that much")
	errs.require(txnOps >= 2, table+".txn_ops", "must be at least 2: a start changes a job and its team")
}

// checkNextLimits checks the future limits of the state service. A limit left out stays at its current value.
func (s *Settings) checkNextLimits(errs *fieldErrors) {
	const table = "settings.state.next"
	state := &s.Cluster.State
	next := state.Next
	if next == nil {
		return
	}
	if next.RPS != nil {
		errs.requirePositive(table+".rps", *next.RPS)
	}
	if next.WriteRPS != nil {
		errs.requirePositive(table+".write_rps", *next.WriteRPS)
	}
	valueKB, txnOps := state.ValueKB, state.TxnOps
	if next.ValueKB != nil {
		valueKB = *next.ValueKB
	}
	if next.TxnOps != nil {
		txnOps = *next.TxnOps
	}
	checkSizes(errs, table, valueKB, txnOps)
}

// checkRanges checks the ranges of durations, rates, sizes and quotas.
func (s *Settings) checkRanges(errs *fieldErrors) {
	c := &s.Cluster
	errs.require(!(c.SkewMillis < 0), "settings.skew_ms", "must not be below 0")
	errs.requirePositive("settings.workers.report_s", float64(c.Workers.Report))
	errs.requirePositive("settings.workers.lease_s", float64(c.Workers.Lease))
	errs.requirePositive("settings.workers.gang_wait_s", float64(c.Workers.GangWait))
	errs.requirePositive("settings.workers.gang_peer_s", float64(c.Workers.GangPeer))
	errs.requirePositive("settings.workers.cancel_s", float64(c.Workers.Cancel))
	errs.requirePositive("settings.state.rps", c.State.RPS)
	errs.requirePositive("settings.state.write_rps", c.State.WriteRPS)
	errs.requirePositive("settings.cloud.rps", c.Cloud.RPS)
	checkSizes(errs, "settings.state", c.State.ValueKB, c.State.TxnOps)
	s.checkNextLimits(errs)
	errs.require(!(c.Quota.CPUShare < 0 || c.Quota.MemoryMB < 0 || c.Quota.Sockets < 0),
		"settings.quota", "must not be below 0")
}
