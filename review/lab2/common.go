package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// bucket is a rate limit that allows a burst of some seconds' worth.
type bucket struct {
	rate, burst float64

	mu     sync.Mutex // guards the fields below
	tokens float64
	at     time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, burst: rate, tokens: rate, at: time.Now()}
}

// take takes n tokens if there are as many.
func (b *bucket) take(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// errorText is the body of an error.
func errorText(text string) map[string]any { return map[string]any{"error": text} }

// reply writes an answer.
func reply(w http.ResponseWriter, status int, answer any) {
	b, err := json.Marshal(answer)
	if err != nil {
		status, b = 500, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the caller may be gone
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
