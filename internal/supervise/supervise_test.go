package supervise

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestGroup: all duties run until one fails; then all end, and the error names the one. How each
// fares is told before, meanwhile and afterwards.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		fails, amiss, ended := errors.New("gives up"), "", 0
		wait := func(ctx context.Context) error {
			<-ctx.Done()
			ended++
			return ctx.Err()
		}
		g.Add(Component{Name: "patient", Run: wait, Amiss: func(time.Time) string { return amiss }})
		g.Add(Component{Name: "frail", Run: func(context.Context) error { time.Sleep(time.Minute); return fails }})
		g.Add(Component{Name: "short", Run: func(context.Context) error { return nil }}) // nothing to do, by its settings
		told := func() string {
			var out []string
			for _, s := range g.Status(time.Now()) {
				out = append(out, s.Name+"="+s.Amiss)
			}
			return strings.Join(out, " ")
		}
		check := func(want string) {
			t.Helper()
			if got := told(); got != want {
				t.Errorf("%q, want %q", got, want)
			}
		}
		check("patient=not started frail=not started short=not started")
		result := make(chan error)
		go func() { result <- g.Run(t.Context()) }()
		synctest.Wait()
		check("patient= frail= short=")
		amiss = "out of touch"
		check("patient=out of touch frail= short=")
		if err := <-result; !errors.Is(err, fails) || !strings.HasPrefix(err.Error(), "frail: ") || ended != 1 {
			t.Errorf("%v, %d ended with it", err, ended)
		}
		check("patient=ended: context canceled frail=ended: gives up short=")
		defer func() {
			if recover() == nil {
				t.Error("a name is registered twice")
			}
		}()
		g.Add(Component{Name: "frail"})
	})
}
