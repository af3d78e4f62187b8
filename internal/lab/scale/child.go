package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"slices"

	"starlingusher/internal/lab/scale/play"
)

// RunPlay is the process of one play: it reads a play.Spec as JSON, plays it, and writes its play.Reading as
// JSON.
func RunPlay(ctx context.Context, in io.Reader, out io.Writer, axes []play.Axis, log *slog.Logger) error {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	var s play.Spec
	if err := dec.Decode(&s); err != nil {
		return fmt.Errorf("decode the spec of a play: %w", err)
	}
	i := slices.IndexFunc(axes, func(a play.Axis) bool { return a.Name == s.Axis })
	if i < 0 {
		return fmt.Errorf("spec of a play: unknown axis %q", s.Axis)
	}
	var err error
	if s.Settings, err = axes[i].FillSettings(s.Settings); err != nil {
		return fmt.Errorf("decode the spec of a play: %w", err)
	}
	r, err := axes[i].Play(ctx, s, log)
	if err != nil {
		return err
	}
	if err := checkReading(axes[i], r); err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(r)
}

// checkReading returns an error if a reading has a figure that the axis does not declare, or a number that is
// not finite.
func checkReading(a play.Axis, r play.Reading) error {
	for id, v := range r.Values {
		if _, ok := a.FindMeasure(id); !ok {
			return fmt.Errorf("axis %s: the reading has figure %q, which the axis does not declare", a.Name, id)
		}
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("axis %s: figure %s is %v", a.Name, id, v)
		}
	}
	for name, v := range r.Counts {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("axis %s: count %s is %v", a.Name, name, v)
		}
	}
	return nil
}
