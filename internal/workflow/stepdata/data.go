// Package stepdata stores the data that workflow steps pass to each other, by name. It is kept in files instead
// of the state service. Each file carries a checksum that readers verify.
package stepdata

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
)

// Errors returned by stores.
var (
	ErrNotFound    = errors.New("step data: not found")
	ErrCorrupt     = errors.New("step data: corrupt: checksum mismatch")
	ErrInvalidName = errors.New("step data: invalid name: expected a relative path inside the store")
)

// Info describes a stored object.
type Info struct {
	Name string
	Size int64  // bytes
	Sum  string // SHA-256, in hex
}

// Store stores objects by name, a slash-separated relative path. Put replaces an object atomically: readers see
// either the old contents or the new.
type Store interface {
	Put(ctx context.Context, name string, r io.Reader) (Info, error)
	Get(ctx context.Context, name string) ([]byte, Info, error)
	Stat(ctx context.Context, name string) (Info, error)
}

// Mem is an in-memory Store for tests and experiments.
type Mem struct {
	mu    sync.Mutex
	files map[string][]byte
}

// Put implements Store.
func (m *Mem) Put(_ context.Context, name string, r io.Reader) (Info, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return Info{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files == nil {
		m.files = map[string][]byte{}
	}
	m.files[name] = b
	return m.info(name), nil
}

func (m *Mem) info(name string) Info {
	sum := sha256.Sum256(m.files[name])
	return Info{name, int64(len(m.files[name])), hex.EncodeToString(sum[:])}
}

// Get implements Store.
func (m *Mem) Get(ctx context.Context, name string) ([]byte, Info, error) {
	info, err := m.Stat(ctx, name)
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.files[name]), info, err
}

// Stat implements Store.
func (m *Mem) Stat(_ context.Context, name string) (Info, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.files[name]; !ok {
		return Info{}, fmt.Errorf("%w: %s", ErrNotFound, name)
	}
	return m.info(name), nil
}

// Dir is a Store in a directory. Each file holds an object's contents followed by their SHA-256.
type Dir struct{ Root string }

func (d Dir) path(name string) (string, error) {
	if !filepath.IsLocal(filepath.FromSlash(name)) || name == "." {
		return "", fmt.Errorf("%w: %q", ErrInvalidName, name)
	}
	return filepath.Join(d.Root, filepath.FromSlash(name)), nil
}

// Put implements Store.
func (d Dir) Put(_ context.Context, name string, r io.Reader) (Info, error) {
	path, err := d.path(name)
	if err != nil {
		return Info{}, err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return Info{}, err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".put-*")
	if err != nil {
		return Info{}, err
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails harmlessly once the file is renamed
	if err := f.Chmod(0o644); err != nil {     // worker machines read it, too
		return Info{}, errors.Join(err, f.Close())
	}
	sum := sha256.New()
	n, err := io.Copy(io.MultiWriter(f, sum), r)
	if err == nil {
		_, err = f.Write(sum.Sum(nil))
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return Info{}, err
	}
	return Info{name, n, hex.EncodeToString(sum.Sum(nil))}, os.Rename(f.Name(), path)
}

// Get implements Store.
func (d Dir) Get(_ context.Context, name string) ([]byte, Info, error) {
	path, err := d.path(name)
	if err != nil {
		return nil, Info{}, err
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, Info{}, fmt.Errorf("%w: %s", ErrNotFound, name)
	}
	if err != nil {
		return nil, Info{}, err
	}
	size := len(b) - sha256.Size
	if size < 0 {
		return nil, Info{}, fmt.Errorf("%w: %s", ErrCorrupt, name)
	}
	sum := sha256.Sum256(b[:size])
	if !bytes.Equal(sum[:], b[size:]) {
		return nil, Info{}, fmt.Errorf("%w: %s", ErrCorrupt, name)
	}
	return b[:size], Info{name, int64(size), hex.EncodeToString(sum[:])}, nil
}

// Stat implements Store. It does not read the contents.
func (d Dir) Stat(_ context.Context, name string) (Info, error) {
	path, err := d.path(name)
	if err != nil {
		return Info{}, err
	}
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Info{}, fmt.Errorf("%w: %s", ErrNotFound, name)
	}
	if err != nil {
		return Info{}, err
	}
	defer func() { _ = f.Close() }() // an error of closing a file that was only read is harmless
	stat, err := f.Stat()
	if err != nil {
		return Info{}, err
	}
	sum := make([]byte, sha256.Size)
	if stat.Size() < sha256.Size {
		return Info{}, fmt.Errorf("%w: %s", ErrCorrupt, name)
	}
	if _, err := f.ReadAt(sum, stat.Size()-sha256.Size); err != nil {
		return Info{}, err
	}
	return Info{name, stat.Size() - sha256.Size, hex.EncodeToString(sum)}, nil
}
