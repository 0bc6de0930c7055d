package backup

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/testing/golden"
)

// earlierExport is an export of the records of newFixture(t, 60), written by the version before the
// identifiers were renamed in 2026.
const earlierExport = "earlier.export"

// TestEarlierExportIsContinued checks that an export written by an earlier version can be imported, verified
// and modified, and that an export of the same records is still byte for byte the same.
func TestEarlierExportIsContinued(t *testing.T) {
	written := newFixture(t, 60)
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
	expectNoProblems(t, link)
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
			page := archive.EmptyPage()
			if err := exactjson.Unmarshal(item.Value, page); err != nil {
				t.Fatal(err)
			}
			continued.records.PutFilterPage(page, item.Version, continued.records.FilterAdditions())
		}
	}
	for range 20 {
		continued.addJob()
	}
	expectNoProblems(t, link)
}

func expectNoProblems(t *testing.T, source Source) {
	t.Helper()
	report, err := Verify(t.Context(), source, limits)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Problems) > 0 {
		t.Errorf("%d problems in the records, the first %v", len(report.Problems), report.Problems[0])
	}
}
