package deadlinetracker_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// BenchmarkReconcile measures the share of galleries in the time to take a snapshot, at 16,000 machines and as many
// jobs: without galleries, and with 5,000 galleries of three jobs each.
func BenchmarkReconcile(b *testing.B) {
	for _, galleries := range []int{0, 5000} {
		b.Run(fmt.Sprint(galleries), func(b *testing.B) {
			p := controllertest.New(b, 0)
			records := p.Cache.Records()
			now := time.Now()
			watchcache.SetStateForTest(b, p.Cache, 1, now)
			version := wire.Revision(0)
			apply := func(key string, value []byte) {
				version++
				records.Apply(ledger.Event{Key: key, Value: value, Version: version})
			}
			for i := range galleries {
				value := fmt.Appendf(nil, `{"team":"free","dates":[{"at":1,"date":%d}],"since":1,"reg":1}`,
					now.Add(time.Hour).UnixMilli())
				apply(fmt.Sprint(ledger.GalleryPrefix, "g-", i), value)
			}
			for i, record := range controllertest.NewFleet(16000).Records {
				value := record.Value
				if i < 3*galleries {
					gallery := fmt.Appendf(nil, `,"g":"g-%d","at":`, i%galleries)
					value = bytes.Replace(value, []byte(`,"at":`), gallery, 1)
				}
				apply(record.Key, value)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Deadlines.UpdateRemainingWork(now)
			}
		})
	}
}
