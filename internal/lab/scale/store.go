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

func (b Build) equal(other Build) bool {
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
type runHeader struct {
	Name      string    `json:"name"`
	Axis      string    `json:"axis"`
	FileHash  string    `json:"file"` // SHA-256 of its text
	Build     Build     `json:"build"`
	StartedAt time.Time `json:"began"`
}

// Record is one play.
type Record struct {
	X                  float64      `json:"x"`
	Play               int          `json:"play"` // from 0 on
	Seed               uint64       `json:"seed"`
	TookSeconds        float64      `json:"took_s"`
	Reading            play.Reading `json:"reading"`
	Failure            string       `json:"failed,omitempty"`  // the play itself went wrong; there is no reading
	MachineFaults      []string     `json:"machine,omitempty"` // how the machine spoilt it
	CPUShares          CPUShares    `json:"cores"`
	PeakRSS            int64        `json:"rss"` // the most of all processes together, in bytes
	PeakProcesses      int          `json:"processes"`
	MinAvailableMemory int64        `json:"free"` // the least memory that the machine had left, in bytes
}

// Spoilt is why the play is not fitted, if it isn't for the machine's sake.
func (r Record) Disturbances() []string {
	return append(append([]string(nil), r.MachineFaults...), r.Reading.Disturbed...)
}

// counts tells whether the play's figures are fitted.
func (r Record) isFitted() bool {
	return r.Failure == "" && len(r.MachineFaults) == 0 && len(r.Reading.Disturbed) == 0 && len(r.Reading.Limits()) == 0
}

// done tells whether the play need not be played again.
func (r Record) isDone() bool { return r.Failure == "" && len(r.Disturbances()) == 0 }

// store appends records to a run's points file.
type store struct{ file *os.File }

// createStore begins a run's file.
func createStore(dir string, h runHeader) (*store, error) {
	f, err := os.OpenFile(filepath.Join(dir, PointsFile), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("points: %w", err)
	}
	s := &store{f}
	if err := s.appendLine(h); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return s, nil
}

// RefusedError says why a run can't be resumed.
type ResumeError struct{ Reason string }

func (e *ResumeError) Error() string { return "this run can't be resumed: " + e.Reason }

// resumeStore reads what a run that was cut short has kept, and goes on behind it. A last line that was cut off in the middle is dropped.
func resumeStore(dir string, h runHeader) (*store, runHeader, []Record, error) {
	path := filepath.Join(dir, PointsFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, h, nil, &ResumeError{fmt.Sprintf("%s holds no %s", dir, PointsFile)}
	}
	if err != nil {
		return nil, h, nil, fmt.Errorf("points: %w", err)
	}
	whole := raw[:bytes.LastIndexByte(raw, '\n')+1]
	var old runHeader
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
			return nil, h, nil, &ResumeError{fmt.Sprintf("line %d of %s is spoilt: %v", n, PointsFile, err)}
		}
	}
	switch {
	case n == 0: // it ended before its first line was whole
		old = h
	case old.FileHash != h.FileHash:
		return nil, h, nil, &ResumeError{"it was begun with another text of the file"}
	case !old.Build.equal(h.Build):
		return nil, h, nil, &ResumeError{"it was begun with another build of the programs; points of two builds don't go together"}
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
		if err := s.appendLine(h); err != nil {
			return nil, h, nil, errors.Join(err, f.Close())
		}
	}
	return s, old, records, nil
}

// line appends one value and syncs it.
func (s *store) appendLine(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("points: %w", err)
	}
	if _, err := s.file.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("points: %w", err)
	}
	return nil
}

func (s *store) close() error { return s.file.Close() }
