package scale

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"starlingusher/fleet/capacity"
)

// MergeSlopes writes the result's slopes into a file, replaces those with the same id and keeps the others.
// run is the path of the committed table that they come from. The file is created if it does not exist, and
// replaced atomically.
func (res *Result) MergeSlopes(path, run string) error {
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("slopes: %w", err)
	}
	all, err := capacity.ParseSlopes(raw)
	if err != nil {
		return fmt.Errorf("slopes: %s: %w", path, err)
	}
	var measured []capacity.Slope
	for _, f := range res.Fits {
		if f.Slope == nil {
			continue
		}
		s := *f.Slope
		s.Run = run
		measured = append(measured, s)
	}
	if raw, err = capacity.FormatSlopes(capacity.MergeSlopes(all, measured)); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := writeFileAtomically(path, raw); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	return nil
}

// writeFileAtomically replaces a file in one step, so that it is complete at any moment.
func writeFileAtomically(path string, raw []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-")
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
