package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"time"

	"maddermill/policy"
)

// recordEvery is how often a queue is recorded.
const recordEvery = 10 * time.Second

// recordQueue returns a function that takes every pass over the queue and writes one every recordEvery
// to out, as a line. Writing is done by a goroutine of its own, which lasts as long as the process, so
// that a slow disk does not delay passes; passes that come while it writes are left out.
func recordQueue(out io.Writer, log *slog.Logger) func(*policy.Pass) {
	lines := make(chan []byte, 1)
	go func() {
		for line := range lines {
			if _, err := out.Write(line); err != nil {
				log.Warn("queue not recorded", "err", err)
			}
		}
	}()
	var last time.Time
	return func(p *policy.Pass) {
		now := time.Now()
		if len(p.Jobs) <= 1 || now.Sub(last) < recordEvery {
			return
		}
		last = now
		line, err := json.Marshal(recordedPass{p.Now, p.Append(nil)})
		if err != nil {
			return
		}
		select {
		case lines <- append(line, '\n'):
		default: // the disk is slow
		}
	}
}
