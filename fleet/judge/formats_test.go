package judge

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

func TestViolationFormat(t *testing.T) {
	var violation, got Violation
	golden.Fill(&violation)
	raw, err := json.MarshalIndent(violation, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "breach.json", raw), &got); err != nil || !reflect.DeepEqual(got, violation) {
		t.Errorf("decoded violation %+v differs from %+v: %v", got, violation, err)
	}
}

func TestRuleNames(t *testing.T) {
	golden.Check(t, "rules.txt", fmt.Appendln(nil, Rules))
}
