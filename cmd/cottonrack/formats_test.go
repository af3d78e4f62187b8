package main

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"starlingusher/internal/golden"
	"starlingusher/internal/settings"
)

// Commands, arguments and flags with their defaults, enums and environment variables, but without help texts.
func TestCommandLine(t *testing.T) {
	parser, err := kong.New(&commandLine{}, kong.Name("cottonrack"))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	describeCommand(&b, parser.Model.Node, "cottonrack")
	golden.Check(t, "command-line.txt", []byte(b.String()))
}

func describeCommand(b *strings.Builder, node *kong.Node, path string) {
	fmt.Fprintf(b, "%s (hidden: %v, aliases: %v)\n", path, node.Hidden, node.Aliases)
	for _, p := range node.Positional {
		fmt.Fprintf(b, "  <%s> %s\n", p.Name, describeValue(p))
	}
	for _, f := range node.Flags {
		short := ""
		if f.Short != 0 {
			short = " -" + string(f.Short)
		}
		fmt.Fprintf(b, "  --%s%s %s env: %v, hidden: %v\n", f.Name, short, describeValue(f.Value), f.Envs, f.Hidden)
	}
	for _, child := range node.Children {
		describeCommand(b, child, path+" "+child.Name)
	}
}

func describeValue(v *kong.Value) string {
	return fmt.Sprintf("%v default: %q, enum: %q, required: %v, type: %q, sep: %q", v.Target.Type(), v.Default, v.Enum, v.Required, v.Tag.Type, v.Tag.Sep)
}

func TestPlannedMapFormat(t *testing.T) {
	var value, got mapChange
	golden.Fill(&value)
	value.MembersBefore = 0 // is not encoded
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "planned-map.json", append(raw, '\n')), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("decoded %+v differs from %+v: %v", got, value, err)
	}
}

func TestMemberFileFormat(t *testing.T) {
	path := t.TempDir() + "/members.toml"
	text := "copies = 2\n[[member]]\nname = \"a\"\nzone = \"z\"\nweight = 0.5\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var f memberFile
	if err := settings.Load(path, &f); err != nil {
		t.Fatal(err)
	}
	if f.Copies != 2 || len(f.Members) != 1 || f.Members[0].Name != "a" || f.Members[0].Zone != "z" || *f.Members[0].Weight != 0.5 {
		t.Errorf("read %+v", f)
	}
}
