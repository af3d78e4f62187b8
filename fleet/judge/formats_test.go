package judge

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

func TestBreachFormat(t *testing.T) {
	var breach, got Violation
	golden.Fill(&breach)
	raw, err := json.MarshalIndent(breach, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "breach.json", raw), &got); err != nil || !reflect.DeepEqual(got, breach) {
		t.Errorf("decoded breach %+v differs from %+v: %v", got, breach, err)
	}
}

func TestRuleNames(t *testing.T) {
	golden.Check(t, "rules.txt", fmt.Appendln(nil, Rules))
}
