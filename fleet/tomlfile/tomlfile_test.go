package tomlfile

import (
	"errors"
	"maps"
	"testing"
)

const text = `name = "x"

[fleet]
nodes = 3
[[fault]]
kind = "kill"
[[fault]]

at = "2s"
[fault.who]
node = 1
`

func TestLines(t *testing.T) {
	want := map[string]int{"name": 1, "fleet": 3, "fleet.nodes": 4, "fault[0]": 5, "fault[0].kind": 6, "fault[1]": 7, "fault[1].at": 9, "fault.who": 10, "fault.who.node": 11}
	if got := KeyLines([]byte(text)); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := KeyLines(nil); len(got) != 0 {
		t.Errorf("empty text: %v", got)
	}
}

func TestDecode(t *testing.T) {
	type into struct {
		Name  string                `toml:"name"`
		Fleet struct{ Nodes int }   `toml:"fleet"`
		Fault []struct{ At string } `toml:"fault"`
	}
	unknown := func(name string) string { return "no " + name }
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\n[fleet]\nnodes = 3\n", ""},
		{"", ""},
		{text, "line 6: no fault.kind\nline 10: no fault.who"},
		{"name = 1\n", "line 1: cannot decode TOML integer into struct field tomlfile.into.Name of type string"},
		{"name = \"x\"\nname = \"y\"\n", "line 2: key name is already defined"},
		{"name = \n", "line 1: unexpected character U+000A at start of value"},
	} {
		var v into
		err := Decode([]byte(c.text), &v, unknown)
		got := ""
		if err != nil {
			got = err.Error()
			var one *Error
			if !errors.As(err, &one) || one.Line == 0 {
				t.Errorf("%q: error %v has no line", c.text, err)
			}
		}
		if got != c.want {
			t.Errorf("%q: got %q, want %q", c.text, got, c.want)
		}
	}
}
