package controller

import (
	"time"

	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/server/reconcile"
	"maddermill/internal/state/ledger"
)

// registerGauges registers the gauges, which are read when metrics are requested. Their names are a public
// interface.
func (c *Controller) registerGauges() {
	c.registerRecordGauges()
	c.registerTrackerGauges()
	c.registerMachineGauges()
	c.Stats.Gauge("duties_amiss", func() float64 {
		problems := 0
		for _, status := range c.Components.Status(time.Now()) {
			if status.HealthProblem != "" {
				problems++
			}
		}
		return float64(problems)
	})
}

// gauge registers a gauge that is read under the cache's lock.
func (c *Controller) gauge(name string, read func(l *ledger.Ledger) float64) {
	c.Stats.Gauge(name, func() (value float64) {
		c.cache.Read(func(l *ledger.Ledger) { value = read(l) })
		return value
	})
}

// machineCountGauge registers a gauge that counts the workers reporting to this controller for which match
// returns true. It is read under the cache's lock.
func (c *Controller) machineCountGauge(name string, match func(l *ledger.Ledger, w *reconcile.Worker) bool) {
	c.gauge(name, func(l *ledger.Ledger) (count float64) {
		c.registry.Each(func(w *reconcile.Worker) {
			if match(l, w) {
				count++
			}
		})
		return count
	})
}

// registerRecordGauges registers gauges of the records.
func (c *Controller) registerRecordGauges() {
	c.gauge("jobs_active", func(l *ledger.Ledger) float64 {
		_, active := l.Counts()
		return float64(active)
	})
	c.gauge("jobs_waiting", func(l *ledger.Ledger) float64 { return float64(l.WaitingJobs()) })
	c.gauge("jobs_finished", func(l *ledger.Ledger) float64 {
		all, active := l.Counts()
		return float64(all - active)
	})
	c.gauge("machines_gone_swept", func(l *ledger.Ledger) float64 { return float64(l.CountTerminated()) })
	c.gauge("archive_filter_pages", func(l *ledger.Ledger) float64 { return float64(l.CountFilterPages()) })
	c.gauge("records_format", func(l *ledger.Ledger) float64 {
		format, _ := l.Format()
		return float64(format.Format)
	})
	c.gauge("ledger_revision", func(l *ledger.Ledger) float64 { return float64(l.Revision()) })
	c.gauge("contact_age_seconds", func(*ledger.Ledger) float64 { return time.Since(c.cache.SyncedAt()).Seconds() })
}

// registerTrackerGauges registers gauges of policy modules, deadlines, completions and crash loops.
func (c *Controller) registerTrackerGauges() {
	c.gauge("policy_suspended", func(l *ledger.Ledger) float64 {
		if c.policies.Suspended(l, time.Now()) {
			return 1
		}
		return 0
	})
	c.gauge("galleries_open", func(l *ledger.Ledger) float64 {
		open, _ := deadlinetracker.CountGalleries(l)
		return float64(open)
	})
	c.gauge("galleries_at_risk", func(l *ledger.Ledger) float64 {
		_, atRisk := deadlinetracker.CountGalleries(l)
		return float64(atRisk)
	})
	c.gauge("completions_kept", func(*ledger.Ledger) float64 { return float64(c.completions.Len()) })
	c.gauge("completions_lost", func(*ledger.Ledger) float64 { return float64(c.completions.Dropped()) })
	c.gauge("jobs_suspect", func(*ledger.Ledger) float64 { return float64(c.failures.CountCrashLooping()) })
}

// registerMachineGauges registers gauges of the machines and their topology.
func (c *Controller) registerMachineGauges() {
	c.machineCountGauge("machines_faulty", func(l *ledger.Ledger, w *reconcile.Worker) bool {
		return c.failures.Faulty(l, w.ID, time.Now())
	})
	c.machineCountGauge("machines_slow", func(_ *ledger.Ledger, w *reconcile.Worker) bool { return c.failures.Slow(w.ID) })
	c.machineCountGauge("machines_deaf", func(_ *ledger.Ledger, w *reconcile.Worker) bool { return w.Unreachable() })
	c.gauge("machines_awaited", func(*ledger.Ledger) float64 {
		awaited, _ := c.leader.BootingMachines()
		return float64(awaited)
	})
	c.gauge("machines_overdue", func(*ledger.Ledger) float64 {
		_, overdue := c.leader.BootingMachines()
		return float64(overdue)
	})
	c.gauge("machines_held", func(*ledger.Ledger) float64 { return float64(c.registry.Len()) })
	c.gauge("blocks_down", func(*ledger.Ledger) float64 { return float64(c.TopologyTracker.CountFailedBlocks()) })
	c.gauge("machines_of_unknown_place", func(*ledger.Ledger) float64 {
		return float64(c.TopologyTracker.CountUnlocatedMachines())
	})
}
