package stepdata

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDir: what is put is got, whole or with an error: a byte changed, an end cut off, a
// name that leads out.
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
	whole, _ := os.ReadFile(path)
	for name, damaged := range map[string][]byte{
		"changed":      append([]byte("j"), whole[1:]...),
		"cut off":      whole[:len(whole)-1],
		"nearly empty": whole[:3],
	} {
		if err := os.WriteFile(path, damaged, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, _, err := d.Get(t.Context(), "a/b.json"); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"../x", "/x", "", "a/../../x", "."} {
		if _, err := d.Put(t.Context(), name, strings.NewReader("")); !errors.Is(err, ErrName) {
			t.Errorf("%q: %v", name, err)
		}
	}
	if _, _, err := d.Get(t.Context(), "none"); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
}
