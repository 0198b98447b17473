package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file that a case writes: a line for each thing that was sent, answered or run. It is safe for
// concurrent use.
type record struct {
	begin time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{begin: time.Now(), file: file}, err
}

// printf writes a line with the seconds since the begin of the case, also to standard output.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }

// quietf is like printf, but writes to the file alone.
func (r *record) quietf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.2f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
