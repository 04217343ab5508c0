package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
