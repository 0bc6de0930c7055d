// Package archive holds the pure data structures of the archive, which do no input or output:
//
//   - Filter, made of Pages, tells which names of jobs and workflows may be archived.
//   - TerminatedMachines is the compact set of terminated machines.
//
// Both are sets that only grow. They are stored in parts that fit the values of the state service,
// so that controllers read a bounded part of them as they need it and not the archive itself
// (docs/history.md). Package archiver is the component that reads the archive and moves records into
// it; package ledger holds these sets among the records.
//
// Methods named With return changed copies. MachineNumbers are never changed, and a Page only by the
// Filter that made its own copy of it. Filter and TerminatedMachines are not safe for concurrent use.
package archive

import (
	"cmp"
	"slices"
)

// Filter is what this controller knows of the filter of archived names: the pages it has read, and
// all names that were added since.
type Filter struct {
	pages  []knownPage // by position
	added  uint64      // names added so far
	recent []string    // the names added last, at least maxRecent of them if so many were added
}

// knownPage is a page with its version when it was read or written.
type knownPage struct {
	*Page
	version uint64
}

// maxRecent is how many of the names that were added last are remembered for pages that are still
// being read.
const maxRecent = 1024

// find returns the index of the page that a name belongs to, and whether it is known.
func (f *Filter) find(name string) (int, bool) {
	position := Position(name)
	i := f.search(position)
	return i, i < len(f.pages) && f.pages[i].Low <= position
}

// search returns the index of the first known page that does not end before a position.
func (f *Filter) search(position uint32) int {
	i, _ := slices.BinarySearchFunc(f.pages, position, func(page knownPage, position uint32) int {
		return cmp.Compare(page.High, position)
	})
	return i
}

// Page returns the page that a name belongs to with its version, or nil if it is not known. The
// page must not be changed.
func (f *Filter) Page(name string) (*Page, uint64) {
	if i, ok := f.find(name); ok {
		return f.pages[i].Page, f.pages[i].version
	}
	return nil, 0
}

// Pages returns how many pages are known.
func (f *Filter) Pages() int { return len(f.pages) }

// Add adds a name that was archived.
func (f *Filter) Add(name string) {
	f.added++
	f.recent = append(f.recent, name)
	if len(f.recent) > 2*maxRecent {
		f.recent = slices.Clone(f.recent[len(f.recent)-maxRecent:])
	}
	if i, ok := f.find(name); ok {
		f.pages[i].add(name)
	}
}

// Added returns how many names were added so far. Call it before a page is read, and pass its result
// to Put.
func (f *Filter) Added() uint64 { return f.added }

// Put adds a page as it was read or written, in place of those that it overlaps. since is the result
// of Added before the read: names added later may be missing in the page and are added to it. If
// these names are no longer remembered, Put returns false and does not add the page.
func (f *Filter) Put(p *Page, version, since uint64) bool {
	missing := f.added - since
	if missing > uint64(len(f.recent)) {
		return false
	}
	f.Drop(p)
	p = p.clone()
	for _, name := range f.recent[len(f.recent)-int(missing):] {
		if p.Covers(name) {
			p.add(name)
		}
	}
	f.pages = slices.Insert(f.pages, f.search(p.High), knownPage{p, version})
	return true
}

// Drop forgets the pages that overlap a page.
func (f *Filter) Drop(p *Page) {
	f.pages = slices.DeleteFunc(f.pages, func(known knownPage) bool {
		return known.Low <= p.High && p.Low <= known.High
	})
}
