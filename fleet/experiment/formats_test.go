package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"starlingusher/fleet/tomlfile"
	"starlingusher/internal/golden"
)

// writeTOML writes a struct in the format of experiments, one key a line: ranges as "LOW..HIGH", lists of structs last.
func writeTOML(b *bytes.Buffer, prefix string, v reflect.Value) {
	for _, tables := range []bool{false, true} {
		for i := range v.NumField() {
			key, field := prefix+v.Type().Field(i).Tag.Get("toml"), v.Field(i)
			isTables := field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct
			switch {
			case isTables != tables:
			case isTables:
				for k := range field.Len() {
					fmt.Fprintf(b, "\n[[%s]]\n", key)
					writeTOML(b, "", field.Index(k))
				}
			default:
				writeKey(b, key, field)
			}
		}
	}
}

func writeKey(b *bytes.Buffer, key string, v reflect.Value) {
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	switch x := v.Interface().(type) {
	case NumberRange:
		fmt.Fprintf(b, "%s = \"%v..%v\"\n", key, x.Low, x.High)
	case DurationRange:
		fmt.Fprintf(b, "%s = \"%v..%v\"\n", key, x.Low, x.High)
	case map[string]NumberRange:
		for name, n := range x {
			writeKey(b, key+"."+name, reflect.ValueOf(n))
		}
	case []string:
		fmt.Fprintf(b, "%s = [%q, %q]\n", key, x[0], x[1])
	case []int:
		fmt.Fprintf(b, "%s = [%d, %d]\n", key, x[0], x[1])
	case string:
		fmt.Fprintf(b, "%s = %q\n", key, x)
	case bool:
		fmt.Fprintf(b, "%s = %v\n", key, x)
	default:
		writeTOML(b, key+".", v)
	}
}

func TestExperimentFormat(t *testing.T) {
	var file, got File
	golden.Fill(&file)
	var b bytes.Buffer
	writeTOML(&b, "", reflect.ValueOf(file))
	text := golden.Check(t, "experiment.toml", b.Bytes())
	if err := tomlfile.Decode(text, &got, unknownName); err != nil || !reflect.DeepEqual(got, file) {
		t.Errorf("decoded experiment %+v differs from %+v: %v", got, file, err)
	}
}

func TestSettingsFormat(t *testing.T) {
	p := parse(t, smallExperiment).DrawPlan(1, 0)
	raw, err := p.Settings(1)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "settings.json", raw)
}

func TestFaultKindNames(t *testing.T) {
	names := slices.Sorted(maps.Keys(FaultKinds))
	golden.Check(t, "faults.txt", []byte(strings.Join(names, "\n")+"\n"))
}

// `cottonrack lab check --json` prints a plan; nothing reads it back.
func TestPlanFormat(t *testing.T) {
	var plan Plan
	golden.Fill(&plan)
	raw, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "plan.json", raw)
}
