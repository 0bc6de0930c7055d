package placement

import (
	"maps"
	"slices"
	"time"

	"maddermill/wire"
)

// ImageCache is an estimate of one machine's image cache and of the image fetches in progress there.
type ImageCache struct {
	capacity float64                  // GB
	cached   []cachedImage            // least recently used first
	fetching map[wire.Image]time.Time // when each fetch was last known to be in progress
}

// cachedImage is an image in a cache and its size.
type cachedImage struct {
	name wire.Image
	gb   float64
}

// NewImageCache returns an empty cache with the given capacity.
func NewImageCache(capacityGB float64) *ImageCache {
	return &ImageCache{capacity: capacityGB, fetching: map[wire.Image]time.Time{}}
}

// Has reports whether the image is cached, as far as is known.
func (i *ImageCache) Has(name wire.Image) bool {
	return slices.ContainsFunc(i.cached, func(c cachedImage) bool { return c.name == name })
}

// RecordUse records that a task has finished fetching an image of gb gigabytes. The image becomes the
// most recently used one, and the least recently used images are evicted while the cache exceeds
// its capacity.
func (i *ImageCache) RecordUse(name wire.Image, gb float64) {
	delete(i.fetching, name)
	i.cached = slices.DeleteFunc(i.cached, func(c cachedImage) bool { return c.name == name })
	i.cached = append(i.cached, cachedImage{name, gb})
	sum := 0.0
	for _, c := range i.cached {
		sum += c.gb
	}
	for sum > i.capacity && len(i.cached) > 1 {
		sum -= i.cached[0].gb
		i.cached = i.cached[1:]
	}
}

// StartFetch records that the image is being fetched.
func (i *ImageCache) StartFetch(name wire.Image, now time.Time) { i.fetching[name] = now }

// IsFetching reports whether the image is being fetched, as far as is known.
func (i *ImageCache) IsFetching(name wire.Image) bool {
	_, ok := i.fetching[name]
	return ok
}

// ListFetching lists the images being fetched.
func (i *ImageCache) ListFetching() []wire.Image { return slices.Sorted(maps.Keys(i.fetching)) }

// Ranks of an image on a machine. The lower the rank, the sooner a task with the image can run.
const (
	rankCached    = iota
	rankFetching  // the machine is fetching the image
	rankAbsent    // the machine has to fetch it
	rankContended // the machine has to fetch it while another fetch shares the bandwidth; only for gangs
)

// rank returns the rank of an image: rankCached, rankFetching or rankAbsent.
func (i *ImageCache) rank(name wire.Image) int {
	switch {
	case i.Has(name):
		return rankCached
	case i.IsFetching(name):
		return rankFetching
	}
	return rankAbsent
}

// ActiveFetches discards fetches that were last known to be in progress more than age ago, and returns
// the number of the others.
func (i *ImageCache) ActiveFetches(now time.Time, age time.Duration) int {
	for name, since := range i.fetching {
		if now.Sub(since) > age {
			delete(i.fetching, name)
		}
	}
	return len(i.fetching)
}

// Names lists the cached images, least recently used first.
func (i *ImageCache) Names() []wire.Image {
	names := make([]wire.Image, len(i.cached))
	for k, c := range i.cached {
		names[k] = c.name
	}
	return names
}
