package supervise

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestGroup checks that all components run until one fails, that the others are then cancelled and that the
// error names the one that failed. Status is checked before, during and after the run.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		failure, problem, ended := errors.New("test failure"), "", 0
		wait := func(ctx context.Context) error {
			<-ctx.Done()
			ended++
			return ctx.Err()
		}
		g.Add(Component{Name: "waiting", Run: wait, HealthProblem: func(time.Time) string { return problem }})
		g.Add(Component{Name: "failing", Run: func(context.Context) error { time.Sleep(time.Minute); return failure }})
		// A component that is disabled by its settings.
		g.Add(Component{Name: "disabled", Run: func(context.Context) error { return nil }})
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
		check("waiting=not started failing=not started disabled=not started")
		result := make(chan error)
		go func() { result <- g.Run(t.Context()) }()
		synctest.Wait()
		check("waiting= failing= disabled=")
		problem = "out of sync"
		check("waiting=out of sync failing= disabled=")
		if err := <-result; !errors.Is(err, failure) || !strings.HasPrefix(err.Error(), "failing: ") || ended != 1 {
			t.Errorf("Run: got error %v and %d other components ended, want %q of failing and 1", err, ended, failure)
		}
		check("waiting=ended: context canceled failing=ended: test failure disabled=")
		defer func() {
			if recover() == nil {
				t.Error("Add with a duplicate name: got no panic, want one")
			}
		}()
		g.Add(Component{Name: "failing"})
	})
}
