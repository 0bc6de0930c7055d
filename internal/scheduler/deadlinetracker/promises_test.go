package deadlinetracker_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// BenchmarkLook is what galleries add to the making of a picture, at 16,000 machines and as many
// jobs: with none, and with 5,000 that have three jobs each.
func BenchmarkLook(b *testing.B) {
	for _, galleries := range []int{0, 5000} {
		b.Run(fmt.Sprint(galleries), func(b *testing.B) {
			p := controllertest.New(b, 0)
			led := p.Cache.Records()
			now := time.Now()
			watchcache.SetStateForTest(b, p.Cache, 1, now)
			version := wire.Revision(0)
			apply := func(key string, value []byte) {
				version++
				led.Apply(ledger.Event{Key: key, Value: value, Version: version})
			}
			for i := range galleries {
				apply(
					fmt.Sprint(ledger.GalleryPrefix, "g-", i),
					fmt.Appendf(
						nil,
						`{"team":"free","dates":[{"at":1,"date":%d}],"since":1,"reg":1}`,
						now.Add(time.Hour).UnixMilli(),
					),
				)
			}
			for i, e := range controllertest.NewFleet(16000).Records {
				value := e.Value
				if i < 3*galleries {
					value = bytes.Replace(value, []byte(`,"at":`), fmt.Appendf(nil, `,"g":"g-%d","at":`, i%max(1, galleries)), 1)
				}
				apply(e.Key, value)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Deadlines.Reconcile(now)
			}
		})
	}
}
