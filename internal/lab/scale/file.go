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
	mostPoints = 100
	mostPlays  = 100
	mostLimit  = time.Hour
)

// File is a scale run as its author wrote it.
type File struct {
	Name   string
	About  string
	Axis   play.Axis
	Points []float64 // rising
	Plays  int       // of each point
	Seed   uint64    // of the first play; each further one has the next
	Limit  time.Duration
	Set    map[string]float64 // all settings of the axis
	Expect []Expect
	Hash   string // of the text
}

// Expect is a bound that an exact figure of each play has to keep.
type Expect struct {
	ID          string   `toml:"id"`
	At          *float64 `toml:"at"` // a point; nil: at each
	Least, Most *float64
}

func (e Expect) String() string {
	s := e.ID
	if e.At != nil {
		s += fmt.Sprintf(" at %v", number(*e.At))
	}
	if e.Least != nil {
		s += fmt.Sprintf(", %v at least", number(*e.Least))
	}
	if e.Most != nil {
		s += fmt.Sprintf(", %v at most", number(*e.Most))
	}
	return s
}

// text is the form of a file.
type text struct {
	Name   string             `toml:"name"`
	About  string             `toml:"about"`
	Axis   string             `toml:"axis"`
	Points []float64          `toml:"points"`
	Plays  int                `toml:"plays"`
	Seed   int64              `toml:"seed"`
	Limit  span               `toml:"limit"`
	Set    map[string]float64 `toml:"set"`
	Expect []struct {
		ID    string   `toml:"id"`
		At    *float64 `toml:"at"`
		Least *float64 `toml:"least"`
		Most  *float64 `toml:"most"`
	} `toml:"expect"`
}

// span is a time, as "90s".
type span time.Duration

func (s *span) UnmarshalText(raw []byte) error {
	d, err := time.ParseDuration(string(raw))
	*s = span(d)
	return err
}

// Parse reads and checks a file against the axes that there are. Its errors are of type *tomlfile.Error, all that were found, joined.
func Parse(raw []byte, axes []play.Axis) (File, error) {
	t := text{Plays: 3, Seed: 1, Limit: span(2 * time.Minute)}
	if err := tomlfile.Decode(raw, &t, unknown); err != nil {
		return File{}, err
	}
	sum := sha256.Sum256(raw)
	f := File{
		Name: t.Name, About: t.About, Points: t.Points, Plays: t.Plays, Seed: uint64(t.Seed), Limit: time.Duration(t.Limit), Hash: hex.EncodeToString(sum[:]),
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
	if !nameForm.MatchString(t.Name) {
		bad("name", "name is of small letters, digits and dashes, since the results' files are called so")
	}
	if t.Plays < 1 || t.Plays > mostPlays {
		bad("plays", "plays is from 1 to %d", mostPlays)
	}
	if t.Seed < 1 {
		bad("seed", "seed is 1 or more")
	}
	if f.Limit < time.Second || f.Limit > mostLimit {
		bad("limit", "limit is from 1s to %v", mostLimit)
	}
	if len(t.Points) == 0 || len(t.Points) > mostPoints {
		bad("points", "points are from 1 to %d values of the axis", mostPoints)
	}
	for i, x := range t.Points {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || i > 0 && x <= t.Points[i-1] {
			bad("points", "points are 0 or more, each larger than the one before it; %v is not", number(x))
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
	if f.Set, err = f.Axis.Fill(t.Set); err != nil {
		// All of them, so that no mistake hides behind another.
		for _, name := range slices.Sorted(maps.Keys(t.Set)) {
			if _, err := f.Axis.Fill(map[string]float64{name: t.Set[name]}); err != nil {
				bad("set."+name, "%v", err)
			}
		}
	}
	for i, e := range t.Expect {
		key := fmt.Sprintf("expect[%d]", i)
		m, ok := f.Axis.Measure(e.ID)
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
			bad(key+".at", "%v is no point of this file", number(*e.At))
		}
		f.Expect = append(f.Expect, Expect{ID: e.ID, At: e.At, Least: e.Least, Most: e.Most})
	}
	return f, errors.Join(found...)
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

func unknown(name string) string {
	if name == "form" {
		return "the form of a slope is tested, not given"
	}
	return fmt.Sprintf("the name %q is not known here; see docs/scale.md", name)
}
