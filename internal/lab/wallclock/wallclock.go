// Package wallclock runs unmodified programs with a wall clock of their own, which can be stepped while they
// run. Their monotonic clock is untouched.
package wallclock

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

//go:embed shift.c.src
var librarySource string

const (
	shiftVariable = "WALLCLOCK_SHIFT" // names the file with the shift; read by the library
	shiftSize     = 8                 // bytes
)

// Library is the library that a process loads to have a wall clock of its own.
type Library struct{ path string }

// Build compiles the library into a directory. It needs a C compiler.
func Build(dir string) (Library, error) {
	source, library := filepath.Join(dir, "wallclock.c"), filepath.Join(dir, "wallclock.so")
	if err := os.WriteFile(source, []byte(librarySource), 0o600); err != nil {
		return Library{}, fmt.Errorf("wall clock library: %w", err)
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O2", "-fno-stack-protector", "-o", library, source).CombinedOutput()
	if err != nil {
		return Library{}, fmt.Errorf("compile the wall clock library: %w: %s", err, out)
	}
	return Library{library}, nil
}

// Clock is the wall clock of the processes that are started with its Env. It is safe for concurrent use.
type Clock struct {
	library Library
	path    string

	mu    sync.Mutex
	shift time.Duration
}

// NewClock returns a clock that shows the machine's time. It keeps its shift in the named file.
func (l Library) NewClock(path string) (*Clock, error) {
	c := &Clock{library: l, path: path}
	return c, c.store()
}

// Env returns the environment variables for a process with this clock.
func (c *Clock) Env() []string {
	return []string{"LD_PRELOAD=" + c.library.path, shiftVariable + "=" + c.path}
}

// Step moves the clock of all its processes, running or not, forward or back.
func (c *Clock) Step(by time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shift += by
	return c.store()
}

// store writes the shift in place, because running processes have the file mapped.
func (c *Clock) store() error {
	f, err := os.OpenFile(c.path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("wall clock: %w", err)
	}
	defer f.Close()
	shift := binary.LittleEndian.AppendUint64(make([]byte, 0, shiftSize), uint64(c.shift.Nanoseconds()))
	if _, err := f.WriteAt(shift, 0); err != nil {
		return fmt.Errorf("wall clock: %w", err)
	}
	return nil
}
