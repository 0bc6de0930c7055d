package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"time"

	"maddermill/policy"
)

// recordInterval is the minimum time between two recorded passes.
const recordInterval = 10 * time.Second

// recordQueue returns a function to be called with every scheduling pass. It writes at most one pass per
// recordInterval to out, as a line of JSON, and skips passes with fewer than two jobs. A goroutine that
// runs as long as the process does the writing, so that a slow disk does not delay passes; passes are
// dropped while its queue of one line is full.
func recordQueue(out io.Writer, log *slog.Logger) func(*policy.Pass) {
	lines := make(chan []byte, 1)
	go func() {
		for line := range lines {
			if _, err := out.Write(line); err != nil {
				log.Warn("writing the queue recording failed", "err", err)
			}
		}
	}()
	var lastRecorded time.Time
	return func(p *policy.Pass) {
		now := time.Now()
		if len(p.Jobs) <= 1 || now.Sub(lastRecorded) < recordInterval {
			return
		}
		lastRecorded = now
		line, err := json.Marshal(recordedPass{p.Now, p.Append(nil)})
		if err != nil {
			return
		}
		select {
		case lines <- append(line, '\n'):
		default: // the disk is slow; drop the pass
		}
	}
}
