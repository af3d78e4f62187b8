package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"starlingusher/internal/lab/scale/play"
)

// PointsFile holds a run's plays as they came: a line that says of which run, then one for each play.
const PointsFile = "points.jsonl"

// Build is what was measured.
type Build struct {
	Commit   string            `json:"commit"`   // of this program's build, "+" behind it when the tree had changes; empty: not known
	Programs map[string]string `json:"programs"` // SHA-256 of each program's file, by what it is here
}

func (b Build) same(other Build) bool {
	if b.Commit != other.Commit || len(b.Programs) != len(other.Programs) {
		return false
	}
	for name, sum := range b.Programs {
		if other.Programs[name] != sum {
			return false
		}
	}
	return true
}

// head is the first line of the points file.
type head struct {
	Name  string    `json:"name"`
	Axis  string    `json:"axis"`
	File  string    `json:"file"` // SHA-256 of its text
	Build Build     `json:"build"`
	Began time.Time `json:"began"`
}

// Record is one play.
type Record struct {
	X       float64      `json:"x"`
	Play    int          `json:"play"` // from 0 on
	Seed    uint64       `json:"seed"`
	Took    float64      `json:"took_s"`
	Reading play.Reading `json:"reading"`
	Failed  string       `json:"failed,omitempty"`  // the play itself went wrong; there is no reading
	Machine []string     `json:"machine,omitempty"` // how the machine spoilt it
	Cores   Shares       `json:"cores"`
	RSS     int64        `json:"rss"` // the most of all processes together, in bytes
	Procs   int          `json:"processes"`
	Free    int64        `json:"free"` // the least memory that the machine had left, in bytes
}

// Spoilt is why the play is not fitted, if it isn't for the machine's sake.
func (r Record) Spoilt() []string {
	return append(append([]string(nil), r.Machine...), r.Reading.Spoilt...)
}

// counts tells whether the play's figures are fitted.
func (r Record) counts() bool {
	return r.Failed == "" && len(r.Machine) == 0 && len(r.Reading.Spoilt) == 0 && len(r.Reading.Ended()) == 0
}

// done tells whether the play need not be played again.
func (r Record) done() bool { return r.Failed == "" && len(r.Spoilt()) == 0 }

// store appends records to a run's points file.
type store struct{ f *os.File }

// createStore begins a run's file.
func createStore(dir string, h head) (*store, error) {
	f, err := os.OpenFile(filepath.Join(dir, PointsFile), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("points: %w", err)
	}
	s := &store{f}
	if err := s.line(h); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return s, nil
}

// RefusedError says why a run can't be resumed.
type RefusedError struct{ Why string }

func (e *RefusedError) Error() string { return "this run can't be resumed: " + e.Why }

// resumeStore reads what a run that was cut short has kept, and goes on behind it. A last line that was cut off in the middle is dropped.
func resumeStore(dir string, h head) (*store, head, []Record, error) {
	path := filepath.Join(dir, PointsFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, h, nil, &RefusedError{fmt.Sprintf("%s holds no %s", dir, PointsFile)}
	}
	if err != nil {
		return nil, h, nil, fmt.Errorf("points: %w", err)
	}
	whole := raw[:bytes.LastIndexByte(raw, '\n')+1]
	var old head
	var records []Record
	n := 0
	for line := range bytes.Lines(whole) {
		n++
		var err error
		if n == 1 {
			err = json.Unmarshal(line, &old)
		} else {
			var r Record
			if err = json.Unmarshal(line, &r); err == nil {
				records = append(records, r)
			}
		}
		if err != nil {
			return nil, h, nil, &RefusedError{fmt.Sprintf("line %d of %s is spoilt: %v", n, PointsFile, err)}
		}
	}
	switch {
	case n == 0: // it ended before its first line was whole
		old = h
	case old.File != h.File:
		return nil, h, nil, &RefusedError{"it was begun with another text of the file"}
	case !old.Build.same(h.Build):
		return nil, h, nil, &RefusedError{"it was begun with another build of the programs; points of two builds don't go together"}
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, h, nil, fmt.Errorf("points: %w", err)
	}
	s := &store{f}
	if err := f.Truncate(int64(len(whole))); err != nil {
		return nil, h, nil, errors.Join(fmt.Errorf("points: %w", err), f.Close())
	}
	if n == 0 {
		if err := s.line(h); err != nil {
			return nil, h, nil, errors.Join(err, f.Close())
		}
	}
	return s, old, records, nil
}

// line appends one value and syncs it.
func (s *store) line(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("points: %w", err)
	}
	if _, err := s.f.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	if err := s.f.Sync(); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	return nil
}

func (s *store) close() error { return s.f.Close() }
