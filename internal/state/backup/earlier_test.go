package backup

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/golden"
)

// earlierExport is an export that the sources before the renaming of 2026 made of the records of
// fill(t, 60).
const earlierExport = "earlier.export"

// TestEarlierExportIsContinued: an export of an earlier version is read, verified and worked on. The same
// records are still written byte for byte.
func TestEarlierExportIsContinued(t *testing.T) {
	written := fill(t, 60)
	var exported bytes.Buffer
	if _, err := Export(t.Context(), written.link, &exported, time.UnixMilli(1_700_000_000_000)); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, earlierExport, exported.Bytes())

	file, err := os.Open(filepath.Join("testdata", "golden", earlierExport))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // only read
	store := emulator.NewStore(limits.TxnOps, limits.ValueBytes)
	link := emulator.NewLink(store, 1)
	if _, err := Import(t.Context(), file, link, limits, time.UnixMilli(1_700_000_001_000)); err != nil {
		t.Fatal(err)
	}
	verify(t, link)
	continued := &fixture{
		t:       t,
		store:   store,
		link:    link,
		records: ledger.New(limits),
		next:    written.next,
		state:   map[string]string{},
		history: written.history,
	}
	for _, item := range store.Items() {
		continued.records.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
		if strings.HasPrefix(item.Key, ledger.FilterPrefix) {
			page := archive.FirstPage()
			if err := json.Unmarshal(item.Value, page); err != nil {
				t.Fatal(err)
			}
			continued.records.PutFilterPage(page, item.Version, continued.records.FilterAdditions())
		}
	}
	for range 20 {
		continued.grow()
	}
	verify(t, link)
}

func verify(t *testing.T, source Source) {
	t.Helper()
	report, err := Verify(t.Context(), source, limits)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Problems) > 0 {
		t.Errorf("%d problems in the records, the first %v", len(report.Problems), report.Problems[0])
	}
}
