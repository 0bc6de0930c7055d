package configfile

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/protocolbuffers/txtpbfmt/parser"
)

// TestFields checks that each element of a repeated field is returned, in list notation or not, and that its
// line is that of the field instead of the comment before it.
func TestFields(t *testing.T) {
	const text = `# first
block { name: "a" }
block: [
  { name: "b" },
  { name: "c" }
]
zone: ["x", "y"]
`
	nodes, err := parser.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	blocks := Fields(nodes, "block")
	if len(blocks) != 3 || len(Fields(nodes, "zone")) != 2 || len(Fields(nodes, "rack")) != 0 {
		t.Fatalf("got %d blocks, %d zones, %d racks, want 3, 2, 0",
			len(blocks), len(Fields(nodes, "zone")), len(Fields(nodes, "rack")))
	}
	for i, want := range []int{2, 4, 5} {
		if got := Line(blocks[i]); got != want {
			t.Errorf("block %d: got line %d, want %d", i, got, want)
		}
	}
	for _, tc := range []struct{ got, want string }{
		{FieldError(blocks[2], "block[2]", "%d names", 2).Error(), "line 5: block[2]: 2 names"},
		{FieldError(nil, "block", "is missing").Error(), "block: is missing"},
	} {
		if tc.got != tc.want {
			t.Errorf("got %q, want %q", tc.got, tc.want)
		}
	}
}

// TestRead checks that each line of a parse error starts with the file name and that errors.Is finds the
// original error.
func TestRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	if _, err := Read(file, func(b []byte) (string, error) { return string(b), nil }); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want %v", err, os.ErrNotExist)
	}
	if err := os.WriteFile(file, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	parseErr := errors.New("one\ntwo")
	content, err := Read(file, func(b []byte) (string, error) { return string(b), parseErr })
	if want := file + ": one\n" + file + ": two"; content != "text" || !errors.Is(err, parseErr) || err.Error() != want {
		t.Errorf("got %q, %v, want %q", content, err, want)
	}
}

// TestFollow checks that a change of the file and a reload signal are each reported exactly once, and that
// nothing is reported otherwise.
func TestFollow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reload := make(chan os.Signal)
		var reports atomic.Int32 // written by Follow's goroutine
		ended := make(chan error, 1)
		go func() { ended <- Follow(ctx, file, reload, func() { reports.Add(1) }) }()
		expect := func(what string, want int) {
			t.Helper()
			time.Sleep(3 * pollInterval)
			synctest.Wait()
			if got := int(reports.Load()); got != want {
				t.Errorf("%s: got %d reports, want %d", what, got, want)
			}
		}
		expect("unchanged", 0)
		if err := os.WriteFile(file, []byte("text"), 0o600); err != nil {
			t.Fatal(err)
		}
		expect("created", 1)
		reload <- os.Interrupt
		expect("signal", 2)
		if err := os.Remove(file); err != nil {
			t.Fatal(err)
		}
		expect("removed", 3)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want %v", err, context.Canceled)
		}
	})
}
