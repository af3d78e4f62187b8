package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// NumberRange is a number or a range "LOW..HIGH", from which each seed draws a number uniformly.
type NumberRange struct{ Low, High float64 }

// UnmarshalText parses a number or a range.
func (n *NumberRange) UnmarshalText(text []byte) error {
	low, high, ranged := strings.Cut(string(text), "..")
	var err error
	if n.Low, err = strconv.ParseFloat(strings.TrimSpace(low), 64); err != nil {
		return fmt.Errorf("%q is not a number: write 3, 0.5 or \"2..4\"", text)
	}
	n.High = n.Low
	if ranged {
		if n.High, err = strconv.ParseFloat(strings.TrimSpace(high), 64); err != nil {
			return fmt.Errorf("%q is not a range of numbers: write \"2..4\"", text)
		}
	}
	if n.High < n.Low {
		return fmt.Errorf("range %q has its ends reversed", text)
	}
	return nil
}

func (n NumberRange) draw(r *rand.Rand) float64 { return n.Low + (n.High-n.Low)*r.Float64() }

// drawInt draws an integer; both ends are as likely as the others.
func (n NumberRange) drawInt(r *rand.Rand) int {
	low, high := int(n.Low+0.5), int(n.High+0.5)
	return low + r.IntN(high-low+1)
}

func (n NumberRange) within(low, high float64) bool { return n.Low >= low && n.High <= high }

func fixedNumber(v float64) NumberRange { return NumberRange{v, v} }

// DurationRange is a duration like "1.5s", or a range "1s..2s", from which each seed draws one uniformly.
type DurationRange struct{ Low, High time.Duration }

// UnmarshalText parses a duration or a range.
func (s *DurationRange) UnmarshalText(text []byte) error {
	low, high, ranged := strings.Cut(string(text), "..")
	var err error
	if s.Low, err = time.ParseDuration(strings.TrimSpace(low)); err != nil {
		return fmt.Errorf("%q is not a duration: write \"250ms\", \"1.5s\" or \"1s..2s\"", text)
	}
	s.High = s.Low
	if ranged {
		if s.High, err = time.ParseDuration(strings.TrimSpace(high)); err != nil {
			return fmt.Errorf("%q is not a range of durations: write \"1s..2s\"", text)
		}
	}
	if s.High < s.Low || s.Low < 0 {
		return fmt.Errorf("duration %q is below 0 or has its ends reversed", text)
	}
	return nil
}

func (s DurationRange) draw(r *rand.Rand) time.Duration {
	return s.Low + time.Duration(r.Float64()*float64(s.High-s.Low))
}

func fixedDuration(d time.Duration) DurationRange { return DurationRange{d, d} }
