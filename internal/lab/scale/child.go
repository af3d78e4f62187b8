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

// PlayOne reads a Spec as JSON, plays it, and writes its Reading as JSON. It's all that the process of one play does.
func RunPlay(ctx context.Context, in io.Reader, out io.Writer, axes []play.Axis, log *slog.Logger) error {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	var s play.Spec
	if err := dec.Decode(&s); err != nil {
		return fmt.Errorf("spec of a play: %w", err)
	}
	i := slices.IndexFunc(axes, func(a play.Axis) bool { return a.Name == s.Axis })
	if i < 0 {
		return fmt.Errorf("spec of a play: there is no axis %q", s.Axis)
	}
	var err error
	if s.Settings, err = axes[i].FillSettings(s.Settings); err != nil {
		return fmt.Errorf("spec of a play: %w", err)
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

// check holds a reading to what its axis says that it reads.
func checkReading(a play.Axis, r play.Reading) error {
	for id, v := range r.Values {
		if _, ok := a.FindMeasure(id); !ok {
			return fmt.Errorf("the axis %s read %q, which it doesn't name among its figures", a.Name, id)
		}
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("the axis %s read %v as %s", a.Name, v, id)
		}
	}
	for name, v := range r.Counts {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("the axis %s counted %v as %s", a.Name, v, name)
		}
	}
	return nil
}
