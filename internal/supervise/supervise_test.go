package supervise

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestGroup: all components run until one fails; then all end, and the error names that one. Status
// reports the state of each before, meanwhile and afterwards.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		failure, problem, ended := errors.New("gives up"), "", 0
		wait := func(ctx context.Context) error {
			<-ctx.Done()
			ended++
			return ctx.Err()
		}
		g.Add(Component{Name: "patient", Run: wait, HealthProblem: func(time.Time) string { return problem }})
		g.Add(Component{Name: "frail", Run: func(context.Context) error { time.Sleep(time.Minute); return failure }})
		// One that has nothing to do by its settings.
		g.Add(Component{Name: "short", Run: func(context.Context) error { return nil }})
		status := func() string {
			var out []string
			for _, s := range g.Status(time.Now()) {
				out = append(out, s.Name+"="+s.HealthProblem)
			}
			return strings.Join(out, " ")
		}
		check := func(want string) {
			t.Helper()
			if got := status(); got != want {
				t.Errorf("status: got %q, want %q", got, want)
			}
		}
		check("patient=not started frail=not started short=not started")
		result := make(chan error)
		go func() { result <- g.Run(t.Context()) }()
		synctest.Wait()
		check("patient= frail= short=")
		problem = "out of touch"
		check("patient=out of touch frail= short=")
		if err := <-result; !errors.Is(err, failure) || !strings.HasPrefix(err.Error(), "frail: ") || ended != 1 {
			t.Errorf("Run: got error %v and %d other components ended, want %q of frail and 1", err, ended, failure)
		}
		check("patient=ended: context canceled frail=ended: gives up short=")
		defer func() {
			if recover() == nil {
				t.Error("Add of a name for the second time: got no panic, want one")
			}
		}()
		g.Add(Component{Name: "frail"})
	})
}
