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

// Bounds of a file.
const (
	maxPoints      = 100
	maxPlays       = 100
	maxPlayTimeout = time.Hour
)

// File is a scale run as its author wrote it.
type RunFile struct {
	Name         string
	Description  string
	Axis         play.Axis
	Points       []float64 // rising
	Plays        int       // of each point
	Seed         uint64    // of the first play; each further one has the next
	PlayTimeout  time.Duration
	Settings     map[string]float64 // all settings of the axis
	Expectations []Expectation
	Hash         string // of the text
}

// Expect is a bound that an exact figure of each play has to keep.
type Expectation struct {
	ID       string   `toml:"id"`
	X        *float64 `toml:"at"` // a point; nil: at each
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

// text is the form of a file.
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

// span is a time, as "90s".
type durationText time.Duration

func (s *durationText) UnmarshalText(raw []byte) error {
	d, err := time.ParseDuration(string(raw))
	*s = durationText(d)
	return err
}

// Parse reads and checks a file against the axes that there are. Its errors are of type *tomlfile.Error, all that were found, joined.
func Parse(raw []byte, axes []play.Axis) (RunFile, error) {
	t := runFileTOML{Plays: 3, Seed: 1, PlayTimeout: durationText(2 * time.Minute)}
	if err := tomlfile.Decode(raw, &t, unknownKeyMessage); err != nil {
		return RunFile{}, err
	}
	sum := sha256.Sum256(raw)
	f := RunFile{
		Name: t.Name, Description: t.Description, Points: t.Points, Plays: t.Plays, Seed: uint64(t.Seed), PlayTimeout: time.Duration(t.PlayTimeout), Hash: hex.EncodeToString(sum[:]),
	}
	where := tomlfile.KeyLines(raw)
	var found []error
	bad := func(key, form string, args ...any) {
		line := where[key]
		for line == 0 && strings.Contains(key, ".") { // the table that it is missing from
			key = key[:strings.LastIndex(key, ".")]
			line = where[key]
		}
		found = append(found, &tomlfile.Error{Line: line, Message: fmt.Sprintf(form, args...)})
	}
	if !namePattern.MatchString(t.Name) {
		bad("name", "name is of small letters, digits and dashes, since the results' files are called so")
	}
	if t.Plays < 1 || t.Plays > maxPlays {
		bad("plays", "plays is from 1 to %d", maxPlays)
	}
	if t.Seed < 1 {
		bad("seed", "seed is 1 or more")
	}
	if f.PlayTimeout < time.Second || f.PlayTimeout > maxPlayTimeout {
		bad("limit", "limit is from 1s to %v", maxPlayTimeout)
	}
	if len(t.Points) == 0 || len(t.Points) > maxPoints {
		bad("points", "points are from 1 to %d values of the axis", maxPoints)
	}
	for i, x := range t.Points {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || i > 0 && x <= t.Points[i-1] {
			bad("points", "points are 0 or more, each larger than the one before it; %v is not", formatNumber(x))
		}
	}
	i := slices.IndexFunc(axes, func(a play.Axis) bool { return a.Name == t.Axis })
	if i < 0 {
		var names []string
		for _, a := range axes {
			names = append(names, a.Name)
		}
		bad("axis", "there is no axis %q; there are %s", t.Axis, strings.Join(names, ", "))
		return f, errors.Join(found...)
	}
	f.Axis = axes[i]
	var err error
	if f.Settings, err = f.Axis.FillSettings(t.Settings); err != nil {
		// All of them, so that no mistake hides behind another.
		for _, name := range slices.Sorted(maps.Keys(t.Settings)) {
			if _, err := f.Axis.FillSettings(map[string]float64{name: t.Settings[name]}); err != nil {
				bad("set."+name, "%v", err)
			}
		}
	}
	for i, e := range t.Expectations {
		key := fmt.Sprintf("expect[%d]", i)
		m, ok := f.Axis.FindMeasure(e.ID)
		switch {
		case !ok:
			bad(key+".id", "the axis %s reads no figure %q", t.Axis, e.ID)
		case !m.Exact:
			bad(key+".id", "%s hangs on the machine's speed; bounds are for bytes and counts that don't", e.ID)
		}
		if e.Least == nil && e.Most == nil {
			bad(key, "a bound is missing: least, most or both")
		}
		if e.Least != nil && e.Most != nil && *e.Least > *e.Most {
			bad(key+".least", "least is more than most")
		}
		if e.At != nil && !slices.Contains(t.Points, *e.At) {
			bad(key+".at", "%v is no point of this file", formatNumber(*e.At))
		}
		f.Expectations = append(f.Expectations, Expectation{ID: e.ID, X: e.At, Min: e.Least, Max: e.Most})
	}
	return f, errors.Join(found...)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

func unknownKeyMessage(name string) string {
	if name == "form" {
		return "the form of a slope is tested, not given"
	}
	return fmt.Sprintf("the name %q is not known here; see docs/scale.md", name)
}
