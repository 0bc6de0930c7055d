package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begin time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, begin: time.Now()}, nil
}

// line writes a line with the time in seconds and a kind.
func (r *recorder) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		_, _ = fmt.Fprintf(r.out, "%8.3f %-7s %s\n", time.Since(r.begin).Seconds(), kind, fmt.Sprintf(format, args...))
	}
}

// close ends the record.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.out = nil
}
