package kvstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/unknownfield"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// newClient returns the only client of a service at an address, with rate limits that no test reaches.
func newClient(t *testing.T, addr string) *kvstore.Client {
	t.Helper()
	dialer, err := transport.NewDialer(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialer.Stop)
	connections := func() *http1.Client {
		return &http1.Client{Dialer: dialer, Addr: addr, MaxIdle: 2, MaxBody: 1 << 20}
	}
	return kvstore.NewClient(connections(), connections(), 1000, 1000, 1, 12)
}

// serve serves HTTP until the test ends and returns the address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// newService returns a client of a new service that contains keys, each with the key itself as its value.
func newService(t *testing.T, keys ...string) *kvstore.Client {
	t.Helper()
	c := newClient(t, serve(t, emulator.StateHandler(emulator.NewLink(emulator.NewStore(12, 4096), 1))))
	for _, key := range keys {
		if _, err := c.Commit(t.Context(), create(key)); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// create returns a transaction that creates a key with the key itself as its value.
func create(key string) wire.Txn {
	return wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Change{{Put: key, Value: []byte(`"` + key + `"`)}},
	}
}

// TestRead checks that Get and Each return committed items.
func TestRead(t *testing.T) {
	c := newService(t, "a/1", "a/2", "a/3", "b/1")
	item, err := c.Get(t.Context(), "a/2")
	if err != nil || string(item.Value) != `"a/2"` {
		t.Errorf("get a/2: %s, error %v", item.Value, err)
	}
	var keys []string
	err = kvstore.Each(t.Context(), c, "a/", 2, func(item wire.Item) error {
		keys = append(keys, item.Key)
		return nil
	})
	if want := []string{"a/1", "a/2", "a/3"}; err != nil || !slices.Equal(keys, want) {
		t.Errorf("keys %v, error %v; want %v", keys, err, want)
	}
}

// TestConflict checks that a transaction whose conditions do not hold fails with the keys and is not executed.
func TestConflict(t *testing.T) {
	c := newService(t, "a/1")
	before, err := c.Revision(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Commit(t.Context(), create("a/1"))
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.Failed, []string{"a/1"}) {
		t.Errorf("created a/1 again: error %v, want a conflict on it", err)
	}
	if after, err := c.Revision(t.Context()); err != nil || after != before {
		t.Errorf("revision %d, error %v; want %d", after, err, before)
	}
}

// TestWatch checks that a watch returns the changes after a revision.
func TestWatch(t *testing.T) {
	c := newService(t, "a/1", "b/1")
	before, err := c.Revision(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Delete: "b/1"}}}); err != nil {
		t.Fatal(err)
	}
	events, err := c.Watch(t.Context(), "b/", before, time.Second)
	if err != nil || len(events.Events) != 1 || events.Events[0].Delete != "b/1" || events.Revision <= before {
		t.Errorf("watch after revision %d: %+v, error %v; want the deletion of b/1", before, events, err)
	}
}

// TestLease checks that a granted lease can be renewed, and that any other can't.
func TestLease(t *testing.T) {
	c := newService(t)
	lease, err := c.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.RenewLease(t.Context(), lease); err != nil {
		t.Error(err)
	}
	if err := c.RenewLease(t.Context(), lease+1); !errors.Is(err, kvstore.ErrLeaseNotFound) {
		t.Errorf("renewed a lease that was never granted: error %v, want %v", err, kvstore.ErrLeaseNotFound)
	}
}

// operations are the operations of a client, with the prefix of their error messages.
var operations = map[string]struct {
	run    func(ctx context.Context, c *kvstore.Client) error
	prefix string
}{
	"get": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Get(ctx, "a/1")
		return err
	}, "state: get a/1: "},
	"list": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.List(ctx, "a/", "a/1", 10)
		return err
	}, `state: list a/ after "a/1": `},
	"revision": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Revision(ctx)
		return err
	}, "state: read revision: "},
	"commit": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Commit(ctx, wire.Txn{Then: []wire.Change{{Delete: "a/1"}}})
		return err
	}, "state: commit of 1 changes: "},
	"watch": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.Watch(ctx, "a/", 7, time.Second)
		return err
	}, "state: watch a/ after revision 7: "},
	"grant": {func(ctx context.Context, c *kvstore.Client) error {
		_, err := c.GrantLease(ctx, time.Minute)
		return err
	}, "state: grant lease of 1m0s: "},
	"renew": {func(ctx context.Context, c *kvstore.Client) error {
		return c.RenewLease(ctx, 5)
	}, "state: renew lease 5: "},
}

// TestErrors checks that each response status results in the error that tells whether the request was
// executed, with a message that names the operation and its object.
func TestErrors(t *testing.T) {
	for _, tc := range []struct {
		name, operation string
		status          int
		body            string
		want            error
	}{
		{"rate limit exceeded", "commit", 429, `{}`, kvstore.ErrRefused},
		{"rate limit exceeded", "watch", 429, `{}`, kvstore.ErrRefused},
		{"unavailable", "get", 503, `{}`, kvstore.ErrRefused},
		{"unavailable", "list", 503, `{}`, kvstore.ErrRefused},
		{"unavailable", "revision", 503, `{}`, kvstore.ErrRefused},
		{"unavailable", "grant", 503, `{}`, kvstore.ErrRefused},
		{"invalid JSON", "get", 200, `{`, kvstore.ErrUnknown},
		{"invalid JSON", "commit", 409, `{`, kvstore.ErrUnknown},
		{"invalid JSON", "grant", 200, `{`, kvstore.ErrUnknown},
		{"no such key", "get", 404, `{}`, kvstore.ErrNotFound},
		{"compacted", "watch", 410, `{}`, kvstore.ErrRevisionCompacted},
		{"no such lease", "renew", 404, `{}`, kvstore.ErrLeaseNotFound},
		{"no such lease", "commit", 400, `{"error":"no such lease"}`, kvstore.ErrLeaseNotFound},
		{"malformed", "commit", 400, `{"error":"malformed"}`, kvstore.ErrInvalid},
		{"malformed", "commit", 400, `malformed`, kvstore.ErrInvalid},
		{"malformed", "list", 400, `{}`, kvstore.ErrInvalid},
		{"malformed", "renew", 400, `{}`, kvstore.ErrInvalid},
	} {
		t.Run(tc.operation+"/"+tc.name, func(t *testing.T) {
			c := newClient(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			})))
			op := operations[tc.operation]
			err := op.run(t.Context(), c)
			if !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}
			if !strings.HasPrefix(err.Error(), op.prefix) {
				t.Errorf("message %q, want prefix %q", err, op.prefix)
			}
		})
	}
}

// TestNoService checks that a request that could not be sent is reported as not executed.
func TestNoService(t *testing.T) {
	stopped := httptest.NewServer(http.NotFoundHandler())
	addr := stopped.Listener.Addr().String()
	stopped.Close()
	c := newClient(t, addr)
	for name, op := range operations {
		t.Run(name, func(t *testing.T) {
			err := op.run(t.Context(), c)
			if !errors.Is(err, kvstore.ErrRefused) || !strings.HasPrefix(err.Error(), op.prefix) {
				t.Errorf("error %v, want %v with prefix %q", err, kvstore.ErrRefused, op.prefix)
			}
		})
	}
}

// TestAnswersIgnoreNamesInOtherCase guards against an unknown field of the service's answers replacing a version, a
// value or a revision.
func TestAnswersIgnoreNamesInOtherCase(t *testing.T) {
	answers := map[string]string{
		"/store/a": `{"k":"a","data":1,"stamp":412,"tenure":7}`,
		"/store":   `{"pairs":[{"k":"a","data":1,"stamp":412,"tenure":7}],"has_next":true,"epoch":431}`,
		"/multi":   `{"epoch":432}`,
		"/leases":  `{"tenure":7}`,
		"/changes": `{"epoch":433,"log":[{"set":"a","data":1,"stamp":433},{"delete":"b","stamp":432}]}`,
	}
	for kind := range unknownfield.Renames {
		c := newClient(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(unknownfield.Variants(answers[r.URL.Path])[kind])) // a lost answer fails the test
		})))
		item, err := c.Get(t.Context(), "a")
		want := wire.Item{Key: "a", Value: []byte("1"), Version: 412, Lease: 7}
		check(t, kind+": get", item, want, err)
		page, err := c.List(t.Context(), "a", "", 1)
		check(t, kind+": list", page, wire.ItemPage{Items: []wire.Item{want}, More: true, Revision: 431}, err)
		revision, err := c.Commit(t.Context(), create("a"))
		check(t, kind+": commit", revision, 432, err)
		lease, err := c.GrantLease(t.Context(), time.Second)
		check(t, kind+": lease", lease, 7, err)
		events, err := c.Watch(t.Context(), "a", 431, time.Second)
		check(t, kind+": watch", events, wire.Events{Revision: 433, Events: []wire.Event{
			{Put: "a", Value: []byte("1"), Version: 433},
			{Delete: "b", Version: 432},
		}}, err)
	}
}

// check checks a result and that there is no error.
func check[T any](t *testing.T, name string, got, want T, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, error %v; want %+v", name, got, err, want)
	}
}
