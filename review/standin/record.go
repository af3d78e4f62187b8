// Package standin has the stand-ins of the review's cases: the platform, partners and clients of one delivery node, and
// the processes of the node itself. They follow the protocol page and use loopback addresses only.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}
