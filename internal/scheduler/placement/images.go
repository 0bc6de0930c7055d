package placement

import (
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// Images is the estimate of one machine's image cache, least recently used
// first, and of the fetches under way there.
type Images struct {
	capacity float64
	cached   []cachedImage
	fetching map[wire.Image]time.Time // when last known to be under way
}

type cachedImage struct {
	name wire.Image
	gb   float64
}

// NewImages returns the estimate of an empty cache.
func NewImages(capacityGB float64) *Images {
	return &Images{capacity: capacityGB, fetching: map[wire.Image]time.Time{}}
}

// Has reports whether the image is believed to be cached.
func (c *Images) Has(name wire.Image) bool {
	return slices.ContainsFunc(c.cached, func(i cachedImage) bool { return i.name == name })
}

// Use notes that a task with the image is past its fetch.
func (c *Images) Use(name wire.Image, gb float64) {
	delete(c.fetching, name)
	c.cached = slices.DeleteFunc(c.cached, func(i cachedImage) bool { return i.name == name })
	c.cached = append(c.cached, cachedImage{name, gb})
	sum := 0.0
	for _, i := range c.cached {
		sum += i.gb
	}
	for sum > c.capacity && len(c.cached) > 1 {
		sum -= c.cached[0].gb
		c.cached = c.cached[1:]
	}
}

// StartFetch notes that the image is being fetched.
func (c *Images) StartFetch(name wire.Image, now time.Time) { c.fetching[name] = now }

// IsFetching reports whether the image is being fetched, as far as known.
func (c *Images) IsFetching(name wire.Image) bool { _, ok := c.fetching[name]; return ok }

// ListFetching lists the images being fetched.
func (c *Images) ListFetching() []wire.Image { return slices.Sorted(maps.Keys(c.fetching)) }

// Ranks of images on a machine.
const (
	rankCached = iota
	rankUnderway
	rankAbsent
)

func (c *Images) rank(name wire.Image) int {
	switch {
	case c.Has(name):
		return rankCached
	case c.IsFetching(name):
		return rankUnderway
	}
	return rankAbsent
}

// Fetches counts the fetches under way after dropping marks older than age.
func (c *Images) Fetches(now time.Time, age time.Duration) int {
	for name, since := range c.fetching {
		if now.Sub(since) > age {
			delete(c.fetching, name)
		}
	}
	return len(c.fetching)
}

// Names lists the cached images, most recently used last.
func (c *Images) Names() []wire.Image {
	names := make([]wire.Image, len(c.cached))
	for i, im := range c.cached {
		names[i] = im.name
	}
	return names
}
