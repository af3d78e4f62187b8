package golden

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

func TestFillLeavesNoFieldZero(t *testing.T) {
	type inner struct {
		Flag bool
		Raw  json.RawMessage
	}
	type outer struct {
		Name    string
		Count   int
		Small   uint8
		Share   float64
		Wait    time.Duration
		At      time.Time
		Pointer *inner
		List    []inner
		Pair    [2]int
		Map     map[string]inner
	}
	var v outer
	Fill(&v)
	value := reflect.ValueOf(v)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("field %s is zero", value.Type().Field(i).Name)
		}
	}
	if !v.Pointer.Flag || len(v.List) != 2 || !v.List[1].Flag || v.Pair[0] == v.Pair[1] || len(v.Map) != 1 {
		t.Errorf("a nested value is not filled: %+v", v)
	}
	var again outer
	Fill(&again)
	if !reflect.DeepEqual(v, again) {
		t.Errorf("two fills differ: %+v and %+v", v, again)
	}
}

func TestCheckFindsADifference(t *testing.T) {
	t.Setenv(UpdateVariable, "")
	recorder := &recorder{TB: t}
	if got := Check(recorder, "example", []byte("one\n")); string(got) != "one\n" || recorder.failed {
		t.Errorf("an equal encoding was refused, file %q", got)
	}
	if Check(recorder, "example", []byte("two\n")); !recorder.failed {
		t.Error("a different encoding passed")
	}
}

type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
