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
	var spec play.Spec
	if err := dec.Decode(&spec); err != nil {
		return fmt.Errorf("decode the spec of a play: %w", err)
	}
	i := slices.IndexFunc(axes, func(a play.Axis) bool { return a.Name == spec.Axis })
	if i < 0 {
		return fmt.Errorf("spec of a play: unknown axis %q", spec.Axis)
	}
	var err error
	if spec.Settings, err = axes[i].FillSettings(spec.Settings); err != nil {
		return fmt.Errorf("decode the spec of a play: %w", err)
	}
	reading, err := axes[i].Play(ctx, spec, log)
	if err != nil {
		return err
	}
	if err := checkReading(axes[i], reading); err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(reading)
}

// checkReading returns an error if a reading has a figure that the axis does not declare, or a number that is
// not finite.
func checkReading(axis play.Axis, reading play.Reading) error {
	for id, v := range reading.Values {
		if _, ok := axis.FindMeasure(id); !ok {
			return fmt.Errorf("axis %s: the reading has figure %q, which the axis does not declare", axis.Name, id)
		}
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("axis %s: figure %s is %v", axis.Name, id, v)
		}
	}
	for name, v := range reading.Counts {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("axis %s: count %s is %v", axis.Name, name, v)
		}
	}
	return nil
}
