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

// PointsFile records the plays of a run as they finish: a header line, then one line for each play.
const PointsFile = "points.jsonl"

// Build says which build of the programs was measured.
type Build struct {
	Commit   string            `json:"commit"`   // of this program; with "+" appended if the work tree had changes; empty: not known
	Programs map[string]string `json:"programs"` // SHA-256 of each program's file, by its name
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

// runHeader is the first line of the points file.
type runHeader struct {
	Name      string    `json:"name"`
	Axis      string    `json:"axis"`
	FileHash  string    `json:"file"` // SHA-256 of the run file's text
	Build     Build     `json:"build"`
	StartedAt time.Time `json:"began"`
}

// Record is the record of one play.
type Record struct {
	X                  float64      `json:"x"`
	Play               int          `json:"play"` // number, from 0
	Seed               uint64       `json:"seed"`
	TookSeconds        float64      `json:"took_s"`
	Reading            play.Reading `json:"reading"`
	Failure            string       `json:"failed,omitempty"`  // why the play failed; it has no reading then
	MachineReasons     []string     `json:"machine,omitempty"` // how the machine or other programs disturbed it
	CPUShares          CPUShares    `json:"cores"`
	PeakRSS            int64        `json:"rss"` // peak of all processes together, in bytes
	PeakProcesses      int          `json:"processes"`
	MinAvailableMemory int64        `json:"free"` // of the machine, in bytes
}

// InvalidReasons returns the reasons, from the run and from the play itself, why an invalid play is not
// fitted.
func (r Record) InvalidReasons() []string {
	return append(append([]string(nil), r.MachineReasons...), r.Reading.Invalid...)
}

// isFitted reports whether the play's figures are fitted.
func (r Record) isFitted() bool {
	return r.Failure == "" && len(r.MachineReasons) == 0 && len(r.Reading.Invalid) == 0 && len(r.Reading.Limits()) == 0
}

// isDone reports whether a resumed run need not repeat the play.
func (r Record) isDone() bool { return r.Failure == "" && len(r.InvalidReasons()) == 0 }

// store appends records to a run's points file.
type store struct{ file *os.File }

// createStore creates the points file of a new run.
func createStore(dir string, h runHeader) (*store, error) {
	f, err := os.OpenFile(filepath.Join(dir, PointsFile), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("points file: %w", err)
	}
	s := &store{f}
	if err := s.appendLine(h); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return s, nil
}

// ResumeError says why a run can't be resumed.
type ResumeError struct{ Reason string }

func (e *ResumeError) Error() string { return "this run can't be resumed: " + e.Reason }

// resumeStore reads the points file of an interrupted run and opens it for appending. An incomplete last line
// is cut off.
func resumeStore(dir string, h runHeader) (*store, runHeader, []Record, error) {
	path := filepath.Join(dir, PointsFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, h, nil, &ResumeError{fmt.Sprintf("%s holds no %s", dir, PointsFile)}
	}
	if err != nil {
		return nil, h, nil, fmt.Errorf("points file: %w", err)
	}
	complete := raw[:bytes.LastIndexByte(raw, '\n')+1]
	var saved runHeader
	var records []Record
	lineCount := 0
	for line := range bytes.Lines(complete) {
		lineCount++
		var err error
		if lineCount == 1 {
			err = json.Unmarshal(line, &saved)
		} else {
			var r Record
			if err = json.Unmarshal(line, &r); err == nil {
				records = append(records, r)
			}
		}
		if err != nil {
			return nil, h, nil, &ResumeError{fmt.Sprintf("line %d of %s is invalid: %v", lineCount, PointsFile, err)}
		}
	}
	switch {
	case lineCount == 0: // the run ended before its first line was complete
		saved = h
	case saved.FileHash != h.FileHash:
		return nil, h, nil, &ResumeError{"it was started with another text of the run file"}
	case !saved.Build.equal(h.Build):
		return nil, h, nil, &ResumeError{"it was started with another build of the programs; points of two builds can't be fitted together"}
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, h, nil, fmt.Errorf("points file: %w", err)
	}
	s := &store{f}
	if err := f.Truncate(int64(len(complete))); err != nil {
		return nil, h, nil, errors.Join(fmt.Errorf("points file: %w", err), f.Close())
	}
	if lineCount == 0 {
		if err := s.appendLine(h); err != nil {
			return nil, h, nil, errors.Join(err, f.Close())
		}
	}
	return s, saved, records, nil
}

// appendLine appends one value and syncs the file.
func (s *store) appendLine(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("points file: %w", err)
	}
	if _, err := s.file.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("points file: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("points file: %w", err)
	}
	return nil
}

func (s *store) close() error { return s.file.Close() }
