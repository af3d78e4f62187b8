package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"starlingusher/choice"
	"starlingusher/internal/golden"
)

func TestFormatOfLines(t *testing.T) {
	var line, decoded Line
	golden.Fill(&line)
	line.Seed = "18446744073709551615"
	checkFormat(t, "line.json", line, &decoded)
}

func TestFormatOfSettings(t *testing.T) {
	var c, decoded simulatorSettings
	golden.Fill(&c)
	checkFormat(t, "settings.json", c, &decoded)
}

// The settings' keys and words reach the fields of choice.Settings that they are meant for.
func TestFormatOfConvertedSettings(t *testing.T) {
	var c simulatorSettings
	golden.Fill(&c)
	c.Discovery, c.Domain.Decay, c.Weights = "on_request", "halves", "rough"
	c.Classes[0].Effect, c.Classes[0].Group, c.Classes[1].Effect = "deduplicated", "all", "at_most_once"
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSettings(raw)
	if err != nil {
		t.Fatal(err)
	}
	var values []any // without the names of the fields
	for v, i := reflect.ValueOf(s), 0; i < v.NumField(); i++ {
		switch f := v.Field(i).Interface().(type) {
		case []choice.Class:
			for _, class := range f {
				values = append(values, fieldsOf(class))
			}
		case []choice.Kind:
			for _, kind := range f {
				values = append(values, fieldsOf(kind))
			}
		case []choice.Tenant:
			for _, tenant := range f {
				values = append(values, fieldsOf(tenant))
			}
		default:
			values = append(values, f)
		}
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "converted_settings.json", encoded)
}

func fieldsOf(v any) (values []any) {
	for i := range reflect.TypeOf(v).NumField() {
		values = append(values, reflect.ValueOf(v).Field(i).Interface())
	}
	return values
}

// The words of the simulator for outcomes, phases and effects, with their numbers.
func TestFormatOfWords(t *testing.T) {
	type words struct {
		Outcomes map[string]choice.Outcome
		Phases   map[string]choice.Phase
		Effects  map[string]choice.Effect
	}
	var decoded words
	checkFormat(t, "words.json", words{outcomeByWord, phaseByWord, effectByWord}, &decoded)
}

// TestActions has the lines of the actions; these two end a reply or report a crash.
func TestFormatOfOtherLines(t *testing.T) {
	if got, want := string(BrokenLine("n", "crash")), `{"event_type":"Broken","node":"n","text":"crash"}`; got != want {
		t.Errorf("Broken is %s, want %s", got, want)
	}
	if want := `{"event_type":"Done"}`; DoneLine != want {
		t.Errorf("Done is %s, want %s", DoneLine, want)
	}
}

// checkFormat compares the JSON of value with the golden file, decodes the file into decoded and compares again.
func checkFormat(t *testing.T, file string, value, decoded any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, file, encoded), decoded); err != nil {
		t.Fatal(err)
	}
	if got := reflect.ValueOf(decoded).Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("decoded %+v, want %+v", got, value)
	}
}
