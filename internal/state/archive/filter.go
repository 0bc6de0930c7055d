// Package archive implements the in-memory data structures of the archive. It does no I/O:
//
//   - Filter, made of Pages, is an approximate membership filter over the names of archived jobs and
//     workflows: it has few false positives and no false negatives.
//   - TerminatedMachines is a compact, exact set of the terminated machines.
//
// Both are append-only sets. They are stored in parts that fit into single values of the state service,
// so that controllers load only the parts they need, and need not read the archive itself
// (docs/history.md). Package archiver reads the archive and moves records into it; package ledger
// holds these sets together with the other records.
//
// Methods named With return modified copies. MachineNumbers values are immutable. A Page is modified
// only by a Filter, on its own copy. Filter and TerminatedMachines are not safe for concurrent use.
package archive

import (
	"cmp"
	"slices"
)

// Filter is this controller's partial copy of the filter of archived names: the pages that it has
// read, updated with all names that were added since.
type Filter struct {
	pages  []cachedPage // by position
	added  uint64       // number of names added so far
	recent []string     // the names added most recently, for Put
}

// cachedPage is a page with the version at which it was read or written.
type cachedPage struct {
	*Page
	version uint64
}

// minRecentNames is how many of the names added most recently a Filter retains at least, so that they
// can be added to pages whose read is still in flight. It retains at most twice as many.
const minRecentNames = 1024

// find returns the index of the page that covers a name, and whether that page is cached.
func (f *Filter) find(name string) (int, bool) {
	position := Position(name)
	i := f.search(position)
	return i, i < len(f.pages) && f.pages[i].Low <= position
}

// search returns the index of the first cached page that does not end before a position.
func (f *Filter) search(position uint32) int {
	i, _ := slices.BinarySearchFunc(f.pages, position, func(page cachedPage, position uint32) int {
		return cmp.Compare(page.High, position)
	})
	return i
}

// Page returns the page that covers a name with its version, or nil if the page is not cached. The
// page must not be modified.
func (f *Filter) Page(name string) (*Page, uint64) {
	if i, ok := f.find(name); ok {
		return f.pages[i].Page, f.pages[i].version
	}
	return nil, 0
}

// PageCount returns the number of cached pages.
func (f *Filter) PageCount() int { return len(f.pages) }

// Add adds the name of an archived job or workflow.
func (f *Filter) Add(name string) {
	f.added++
	f.recent = append(f.recent, name)
	if len(f.recent) > 2*minRecentNames {
		f.recent = slices.Clone(f.recent[len(f.recent)-minRecentNames:])
	}
	if i, ok := f.find(name); ok {
		f.pages[i].add(name)
	}
}

// Additions returns the number of names added so far. Callers read it before they read a page from the
// state service, and pass it to Put.
func (f *Filter) Additions() uint64 { return f.added }

// Put caches a page that was read or written, and evicts the pages that it overlaps. since is the result
// of Additions before the read: names added later may be missing in the page, and Put adds them to its
// copy. If some of these names are no longer retained, Put returns false and does not cache the page.
func (f *Filter) Put(p *Page, version, since uint64) bool {
	missing := f.added - since
	if missing > uint64(len(f.recent)) {
		return false
	}
	f.DropOverlapping(p)
	p = p.clone()
	for _, name := range f.recent[len(f.recent)-int(missing):] {
		if p.Covers(name) {
			p.add(name)
		}
	}
	f.pages = slices.Insert(f.pages, f.search(p.High), cachedPage{p, version})
	return true
}

// DropOverlapping evicts the cached pages that overlap a page.
func (f *Filter) DropOverlapping(p *Page) {
	f.pages = slices.DeleteFunc(f.pages, func(cached cachedPage) bool {
		return cached.Low <= p.High && p.Low <= cached.High
	})
}
