package ownership

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"starlingusher/internal/golden"
)

func TestMapFormat(t *testing.T) {
	m, err := Make(7, 2, []Member{{"a", "z0", 1}, {"b", "z1", 2}, {"c", "z1", 0.3}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(golden.Check(t, "map.cbor", raw))
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded map %+v differs from %+v: %v", got, m, err)
	}
}

func TestMemberFormat(t *testing.T) {
	var m Member
	golden.Fill(&m)
	raw, err := toml.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var fromTOML, fromJSON Member
	if err := toml.Unmarshal(golden.Check(t, "member.toml", raw), &fromTOML); err != nil || fromTOML != m {
		t.Errorf("decoded member %+v differs from %+v: %v", fromTOML, m, err)
	}
	if raw, err = json.Marshal(m); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "member.json", raw), &fromJSON); err != nil || fromJSON != m {
		t.Errorf("decoded member %+v differs from %+v: %v", fromJSON, m, err)
	}
}

func TestChangeFormat(t *testing.T) {
	var c, got Change
	golden.Fill(&c)
	raw, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "change.json", raw), &got); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("decoded change %+v differs from %+v: %v", got, c, err)
	}
}
