package stepdata

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDir checks that an object is read back as it was stored, and that a changed byte, a truncated file, a missing
// object, and a name that leaves the directory each return their error.
func TestDir(t *testing.T) {
	d := Dir{t.TempDir()}
	info, err := d.Put(t.Context(), "a/b.json", strings.NewReader("hello"))
	if err != nil || info.Size != 5 || !strings.HasPrefix(info.Sum, "2cf24dba") {
		t.Fatal(info, err)
	}
	b, got, err := d.Get(t.Context(), "a/b.json")
	if st, e := d.Stat(t.Context(), "a/b.json"); string(b) != "hello" || got != info || st != info || err != nil ||
		e != nil {
		t.Errorf("%q, %+v, %+v, %v, %v", b, got, st, err, e)
	}
	path := filepath.Join(d.Root, "a", "b.json")
	intact, _ := os.ReadFile(path)
	for name, corrupt := range map[string][]byte{
		"changed":      append([]byte("j"), intact[1:]...),
		"truncated":    intact[:len(intact)-1],
		"nearly empty": intact[:3],
	} {
		if err := os.WriteFile(path, corrupt, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, _, err := d.Get(t.Context(), "a/b.json"); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"../x", "/x", "", "a/../../x", "."} {
		if _, err := d.Put(t.Context(), name, strings.NewReader("")); !errors.Is(err, ErrInvalidName) {
			t.Errorf("%q: %v", name, err)
		}
	}
	if _, _, err := d.Get(t.Context(), "none"); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
}
