package archive

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"maddermill/internal/exactjson"
)

// randomMachine returns a random machine name from one of several series.
func randomMachine(rng *rand.Rand) string {
	switch rng.IntN(3) {
	case 0:
		return fmt.Sprintf("host-%06d", rng.IntN(3*PartSize))
	case 1:
		return fmt.Sprintf("host-%d", rng.IntN(30))
	}
	return fmt.Sprintf("spot/a-%03d", rng.IntN(900))
}

// addStored adds machines of one part, passing the part and the head through their stored form.
func addStored(t *testing.T, set *TerminatedMachines, names ...string) {
	t.Helper()
	part, ok := PartOfMachine(names[0])
	if !ok {
		t.Fatalf("%s belongs to no part", names[0])
	}
	if parsed, err := ParsePartID(part.String()); err != nil || parsed != part {
		t.Fatalf("got %v, %v from %q, want %v", parsed, err, part, part)
	}
	head, numbers := set.With(part, names)
	set.SetHead(part.Series, roundTrip(t, head, 2048))
	set.SetPart(part, roundTrip(t, numbers, 2048))
}

// TestTerminatedMachines compares the set with a plain map, including a part that becomes complete.
func TestTerminatedMachines(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 9))
	set, want := NewTerminatedMachines(), map[string]bool{}
	for range 3000 {
		name := randomMachine(rng)
		addStored(t, set, name)
		want[name] = true
	}
	complete := make([]string, 0, PartSize)
	for i := range PartSize {
		name := fmt.Sprintf("host-%06d", PartSize+i)
		complete = append(complete, name)
		want[name] = true
	}
	addStored(t, set, complete...)
	if part, _ := PartOfMachine(complete[0]); len(set.parts) == 0 || set.parts[part].Len() != 0 {
		t.Error("a complete part is still stored")
	}
	for range 20_000 {
		if name := randomMachine(rng); set.Has(name) != want[name] {
			t.Fatalf("%s: got %v, want %v", name, set.Has(name), want[name])
		}
	}
	if set.Count() != len(want) {
		t.Errorf("got %d machines, want %d", set.Count(), len(want))
	}
	for _, name := range []string{"", "host", "host-", "host-1234567890"} {
		if _, ok := PartOfMachine(name); ok || set.Has(name) {
			t.Errorf("%q belongs to a part or is in the set", name)
		}
	}
}

// FuzzRecords checks that no stored bytes cause a panic, and that a decoded page can be encoded again.
func FuzzRecords(f *testing.F) {
	pages, _ := EmptyPage().With(names(0, 3), 4096)
	p, _ := json.Marshal(pages[0])
	_, s := NewTerminatedMachines().With(PartID{Series{"host-", 6}, 0}, []string{"host-000007"})
	set, _ := json.Marshal(s)
	f.Add(p)
	f.Add(set)
	f.Add([]byte(`{"n":1,"w":"OjAAAAAAAAA="}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		var page Page
		if exactjson.Unmarshal(in, &page) == nil && page.bitmap != nil {
			page.MayContain("wk-000001")
			roundTrip(t, &page, 1<<30)
		}
		var h SeriesHead
		if exactjson.Unmarshal(in, &h) == nil {
			h.CompleteParts.Len()
		}
		var set MachineNumbers
		if exactjson.Unmarshal(in, &set) == nil {
			set.Len()
		}
	})
}
