package scale

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"starlingusher/fleet/tomlfile"
	"starlingusher/internal/lab/scale/play"
)

// Bounds of a run file's values.
const (
	maxPoints      = 100
	maxPlays       = 100
	maxPlayTimeout = time.Hour
)

// RunFile is a parsed run file: the TOML file that says which axis a scale run plays, at which points and
// with which settings.
type RunFile struct {
	Name         string
	Description  string
	Axis         play.Axis
	Points       []float64 // in rising order
	Plays        int       // plays of each point
	Seed         uint64    // of the first play; each further play gets the next number
	PlayTimeout  time.Duration
	Settings     map[string]float64 // the axis' settings, with defaults filled in
	Expectations []Expectation
	Hash         string // SHA-256 of the file's text, in hex
}

// Expectation bounds an exact figure. Each play of the point has to meet it.
type Expectation struct {
	ID       string   `toml:"id"`
	X        *float64 `toml:"at"` // the point; nil: all points
	Min, Max *float64
}

func (e Expectation) String() string {
	s := e.ID
	if e.X != nil {
		s += fmt.Sprintf(" at %v", formatNumber(*e.X))
	}
	if e.Min != nil {
		s += fmt.Sprintf(", %v at least", formatNumber(*e.Min))
	}
	if e.Max != nil {
		s += fmt.Sprintf(", %v at most", formatNumber(*e.Max))
	}
	return s
}

// runFileTOML has the keys of a run file.
type runFileTOML struct {
	Name         string             `toml:"name"`
	Description  string             `toml:"about"`
	Axis         string             `toml:"axis"`
	Points       []float64          `toml:"points"`
	Plays        int                `toml:"plays"`
	Seed         int64              `toml:"seed"`
	PlayTimeout  durationText       `toml:"limit"`
	Settings     map[string]float64 `toml:"set"`
	Expectations []struct {
		ID    string   `toml:"id"`
		At    *float64 `toml:"at"`
		Least *float64 `toml:"least"`
		Most  *float64 `toml:"most"`
	} `toml:"expect"`
}

// durationText is a duration in the form "90s".
type durationText time.Duration

func (s *durationText) UnmarshalText(raw []byte) error {
	d, err := time.ParseDuration(string(raw))
	*s = durationText(d)
	return err
}

// Parse reads a run file and checks it against the known axes. It returns all errors found, joined; each is a
// *tomlfile.Error.
func Parse(raw []byte, axes []play.Axis) (RunFile, error) {
	text := runFileTOML{Plays: 3, Seed: 1, PlayTimeout: durationText(2 * time.Minute)}
	if err := tomlfile.Decode(raw, &text, unknownKeyMessage); err != nil {
		return RunFile{}, err
	}
	sum := sha256.Sum256(raw)
	f := RunFile{
		Name: text.Name, Description: text.Description, Points: text.Points, Plays: text.Plays, Seed: uint64(text.Seed), PlayTimeout: time.Duration(text.PlayTimeout), Hash: hex.EncodeToString(sum[:]),
	}
	keyLines := tomlfile.KeyLines(raw)
	var errs []error
	addError := func(key, format string, args ...any) {
		line := keyLines[key]
		for line == 0 && strings.Contains(key, ".") { // report a missing key at its table
			key = key[:strings.LastIndex(key, ".")]
			line = keyLines[key]
		}
		errs = append(errs, &tomlfile.Error{Line: line, Message: fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(text.Name) {
		addError("name", "name must consist of small letters, digits and dashes, as the result files are named after it")
	}
	if text.Plays < 1 || text.Plays > maxPlays {
		addError("plays", "plays must be from 1 to %d", maxPlays)
	}
	if text.Seed < 1 {
		addError("seed", "seed must be 1 or more")
	}
	if f.PlayTimeout < time.Second || f.PlayTimeout > maxPlayTimeout {
		addError("limit", "limit must be from 1s to %v", maxPlayTimeout)
	}
	if len(text.Points) == 0 || len(text.Points) > maxPoints {
		addError("points", "points must have from 1 to %d values of the axis", maxPoints)
	}
	for i, x := range text.Points {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || i > 0 && x <= text.Points[i-1] {
			addError("points", "points must be 0 or more, each larger than the one before it; %v is not", formatNumber(x))
		}
	}
	i := slices.IndexFunc(axes, func(a play.Axis) bool { return a.Name == text.Axis })
	if i < 0 {
		var names []string
		for _, a := range axes {
			names = append(names, a.Name)
		}
		addError("axis", "unknown axis %q; known axes: %s", text.Axis, strings.Join(names, ", "))
		return f, errors.Join(errs...)
	}
	f.Axis = axes[i]
	var err error
	if f.Settings, err = f.Axis.FillSettings(text.Settings); err != nil {
		// FillSettings stops at the first error; check each setting alone to report them all.
		for _, name := range slices.Sorted(maps.Keys(text.Settings)) {
			if _, err := f.Axis.FillSettings(map[string]float64{name: text.Settings[name]}); err != nil {
				addError("set."+name, "%v", err)
			}
		}
	}
	for i, e := range text.Expectations {
		key := fmt.Sprintf("expect[%d]", i)
		m, ok := f.Axis.FindMeasure(e.ID)
		switch {
		case !ok:
			addError(key+".id", "axis %s has no figure %q", text.Axis, e.ID)
		case !m.Exact:
			addError(key+".id", "%s depends on the machine's speed; only bytes and counts that do not can have bounds", e.ID)
		}
		if e.Least == nil && e.Most == nil {
			addError(key, "a bound is missing: least, most or both")
		}
		if e.Least != nil && e.Most != nil && *e.Least > *e.Most {
			addError(key+".least", "least is more than most")
		}
		if e.At != nil && !slices.Contains(text.Points, *e.At) {
			addError(key+".at", "%v is not a point of this file", formatNumber(*e.At))
		}
		f.Expectations = append(f.Expectations, Expectation{ID: e.ID, X: e.At, Min: e.Least, Max: e.Most})
	}
	return f, errors.Join(errs...)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

func unknownKeyMessage(name string) string {
	if name == "form" {
		return "the form of a slope can't be set; the fit finds it"
	}
	return fmt.Sprintf("unknown name %q; see docs/scale.md", name)
}
