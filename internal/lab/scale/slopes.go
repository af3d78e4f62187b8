package scale

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"starlingusher/internal/settings"
)

// slope is one line of the slopes file: y = At0 + Slope*x + Square*x*x.
type slope struct {
	ID     string  `toml:"id" json:"id"`
	What   string  `toml:"what" json:"what"`
	Per    string  `toml:"per" json:"per"`   // unit of x
	Unit   string  `toml:"unit" json:"unit"` // of y
	Form   string  `toml:"form" json:"form"`
	At0    float64 `toml:"at0" json:"at0"`
	Slope  float64 `toml:"slope" json:"slope"`   // 0 when constant
	Square float64 `toml:"square" json:"square"` // 0 unless quadratic
	Spread float64 `toml:"spread" json:"spread"` // standard error of the leading coefficient, from the plays' scatter
	From   float64 `toml:"from" json:"from"`     // measured range of x
	To     float64 `toml:"to" json:"to"`
	Points int     `toml:"points" json:"points"`
	Plays  int     `toml:"plays" json:"plays"` // at each point, the fewest
	Worst  float64 `toml:"worst" json:"worst"` // largest relative residual, or how far the fit of the others missed the last point
	Run    string  `toml:"run" json:"run,omitempty"`
	Commit string  `toml:"commit" json:"commit"`
}

// at is the slope's y at x.
func (s slope) at(x float64) float64 { return s.At0 + x*(s.Slope+x*s.Square) }

// slopesFile is the form of the slopes file.
type slopesFile struct {
	Slopes []slope `toml:"slope"`
}

const slopesHead = `# Measured slopes, sorted by id: y = at0 + slope*x + square*x*x. Written by ` + "`cottonrack lab scale FILE --slopes`" + `, read by
# ` + "`cottonrack capacity`" + `; docs/scale.md says how they are measured.

`

// MergeSlopes writes the result's slopes into a file, in place of those of the same id, and leaves the others as they are. run is the path
// of the committed table that they come from. The file is made if it isn't there, and is whole at any moment.
func (res *Result) MergeSlopes(path, run string) error {
	var all slopesFile
	if err := settings.Load(path, &all); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("slopes: %w", err)
	}
	for _, f := range res.Fits {
		if f.Slope == nil {
			continue
		}
		s := *f.Slope
		s.Run = run
		all.Slopes = slices.DeleteFunc(all.Slopes, func(o slope) bool { return o.ID == s.ID })
		all.Slopes = append(all.Slopes, s)
	}
	slices.SortFunc(all.Slopes, func(a, b slope) int { return cmp.Compare(a.ID, b.ID) })
	raw, err := toml.Marshal(all)
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	raw = append([]byte(slopesHead), bytes.TrimLeft(raw, "\n")...)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := writeWhole(path, raw); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	return nil
}

// writeWhole replaces a file by a new one in one step.
func writeWhole(path string, raw []byte) error {
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
