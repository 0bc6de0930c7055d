package cloud_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"maddermill/internal/leader/cloud"
	"maddermill/internal/testing/unknownfield"
	"maddermill/internal/transport"
	"maddermill/internal/transport/http1"
	"maddermill/wire"
)

// newClient returns a client of a cloud that answers requests for each path with the same body.
func newClient(t *testing.T, answers map[string]string) *cloud.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.Method+" "+r.URL.Path])) // a lost answer fails the test
	}))
	t.Cleanup(server.Close)
	dialer, err := transport.NewDialer(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dialer.Stop)
	h := &http1.Client{Dialer: dialer, Addr: server.Listener.Addr().String(), MaxIdle: 2, MaxBody: 1 << 20}
	return cloud.NewClient(h, 1000)
}

// TestAnswersIgnoreNamesInOtherCase guards against an unknown field of the cloud's answers replacing the name, type
// or zone of a machine.
func TestAnswersIgnoreNamesInOtherCase(t *testing.T) {
	answers := map[string]string{
		"GET /flavors": `{"builds":[{"sku":"g8","cores":8,"accelerators":2,"ram_gb":64,"local_gb":50,` +
			`"fetch_gb_per_s":1.5,"price":4.5,"market_price":1.5,"startup_s":45,"yards":["a","b"]}]}`,
		"POST /machines": `{"millstones":["host-000231"]}`,
		"GET /machines": `{"millstones":[{"id":"host-000231","endpoint":"10.1.0.232:9000","build":"g8","yard":"a",` +
			`"loaners":true,"status":"running","age_s":61.5}],"has_next":false}`,
	}
	wantTypes := []wire.MachineType{{Name: "g8", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBps: 1.5,
		Price: 4.5, SpotPrice: 1.5, Boot: 45, Zones: []wire.Zone{"a", "b"}}}
	wantList := []wire.ListedMachine{{ID: "host-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true,
		State: wire.MachineRunning, Age: 61.5}}
	for kind := range unknownfield.Renames {
		variants := map[string]string{}
		for request, answer := range answers {
			variants[request] = unknownfield.Variants(answer)[kind]
		}
		c := newClient(t, variants)
		types, err := c.MachineTypes(t.Context())
		if err != nil || !reflect.DeepEqual(types, wantTypes) {
			t.Errorf("%s: machine types: got %+v, error %v; want %+v", kind, types, err, wantTypes)
		}
		rented, err := c.ScaleOut(t.Context(), wire.ScaleOutRequest{Request: "r-1", Count: 1})
		if err != nil || len(rented) != 1 || rented[0] != "host-000231" {
			t.Errorf("%s: scale-out: got %v, error %v; want host-000231", kind, rented, err)
		}
		list, err := c.List(t.Context())
		if err != nil || !reflect.DeepEqual(list, wantList) {
			t.Errorf("%s: list: got %+v, error %v; want %+v", kind, list, err, wantList)
		}
	}
}
