package main

import (
	"bytes"
	"context"
	"encoding/json"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"starlingusher/fleet/capacity"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
)

// The tests run in this folder.
const root = "../.."

func read(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// cottonrack runs the program in this process.
func cottonrack(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// upToDate tells whether a page is what the program makes of it, by the command that the page names; the page is not changed.
func upToDate(t *testing.T, page, target, slopes string) bool {
	t.Helper()
	dir := t.TempDir()
	file := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	p := file("page.md", page)
	if code, _, e := cottonrack("capacity", "--target", file("target.toml", target), "--slopes", file("slopes.toml", slopes), "--write", p); code != exitDone {
		t.Fatalf("exit code %d: %s", code, e)
	}
	after, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(after) == page
}

func TestCapacityPageIsUpToDate(t *testing.T) {
	page, target, slopes := read(t, "docs/CAPACITY.md"), read(t, "docs/capacity/target.toml"), read(t, "docs/capacity/slopes.toml")
	if !upToDate(t, page, target, slopes) {
		t.Fatal("the tables of docs/CAPACITY.md are not what the program prints: cottonrack capacity --write docs/CAPACITY.md, from the root")
	}
	// The check finds what drifts: a figure of the page, the target, a slope.
	drifted := strings.Replace(page, "646,000", "645,000", 1)
	if drifted == page || upToDate(t, drifted, target, slopes) {
		t.Error("a figure changed on the page is not found")
	}
	if other := strings.Replace(target, "nodes = 820", "nodes = 821", 1); other == target || upToDate(t, page, other, slopes) {
		t.Error("another target is not found")
	}
	all, err := capacity.ParseSlopes([]byte(slopes))
	if err != nil {
		t.Fatal(err)
	}
	made := capacity.Slope{ID: "node.destinations.heap", Description: "made up", XUnit: "destination", Unit: "B", Form: "linear", Intercept: 1, LinearCoef: 1234, To: 10, Points: 1, Repeats: 1,
		Run: "none", Commit: "0"}
	more, err := capacity.FormatSlopes(capacity.MergeSlopes(all, []capacity.Slope{made}))
	if err != nil {
		t.Fatal(err)
	}
	if upToDate(t, page, target, string(more)) {
		t.Error("another slope is not found")
	}
	// What stands outside the tables stays.
	if prose := strings.Replace(page, "# Capacities", "# Capacities of ours", 1); !upToDate(t, prose, target, slopes) {
		t.Error("prose is not kept")
	}
}

// What is printed is what stands on the page.
func TestCapacityPrintsThePagesTables(t *testing.T) {
	files := []string{"capacity", "--target", root + "/docs/capacity/target.toml", "--slopes", root + "/docs/capacity/slopes.toml"}
	code, out, e := cottonrack(files...)
	if code != exitDone {
		t.Fatalf("exit code %d: %s", code, e)
	}
	page := read(t, "docs/CAPACITY.md")
	tables := regexp.MustCompile(`(?s)<!-- capacity:begin ([a-z-]+) -->\n(.*?)<!-- capacity:end -->`).FindAllStringSubmatch(page, -1)
	if len(tables) < 10 {
		t.Fatalf("the page has %d tables", len(tables))
	}
	help := regexp.MustCompile(`these tables alone: ([a-z, -]+)\.`).FindStringSubmatch(helpText(t))
	if help == nil {
		t.Fatal("--help does not name the tables")
	}
	for _, m := range tables {
		if !strings.Contains(out, "\n\n"+m[2]) {
			t.Errorf("the table %s of the page is not printed", m[1])
		}
		if !strings.Contains(", "+help[1]+",", ", "+m[1]+",") {
			t.Errorf("--help does not name the table %s", m[1])
		}
		code, one, e := cottonrack(append(files, "--only", m[1])...)
		if code != exitDone || !strings.HasSuffix(one, "\n\n"+m[2]+"\n") || strings.Count(one, "## ") != 1 {
			t.Errorf("--only %s: exit code %d, %s%s", m[1], code, one, e)
		}
	}
	code, out, e = cottonrack(append(files, "--order")...)
	if code != exitDone || strings.Count(out, "## ") != 2 || !strings.Contains(out, "## What waits for what") {
		t.Errorf("--order: exit code %d, %s%s", code, out, e)
	}
	code, out, e = cottonrack(append([]string{"--json"}, files...)...)
	var r capacity.Report
	if code != exitDone {
		t.Fatalf("--json: exit code %d: %s", code, e)
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Lines) < 50 || len(r.Steps) == 0 || r.Target.Fleet.Nodes != 820 {
		t.Errorf("--json: %v, %d lines", err, len(r.Lines))
	}
}

// helpText is --help with the line breaks taken out.
func helpText(t *testing.T) string {
	t.Helper()
	code, out, _ := cottonrack("capacity", "--help")
	if !strings.Contains(out, "cottonrack capacity --write docs/CAPACITY.md") {
		t.Errorf("--help, exit code %d: %s", code, out)
	}
	return strings.Join(strings.Fields(out), " ")
}

func TestCapacityWrongUse(t *testing.T) {
	dir := t.TempDir()
	target, slopes := root+"/docs/capacity/target.toml", root+"/docs/capacity/slopes.toml"
	file := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	badTarget := file("t.toml", strings.Replace(strings.Replace(read(t, "docs/capacity/target.toml"), "nodes = 820", "nodes = 0", 1), "zones = 6", "zones = -6", 1))
	badSlopes := file("s.toml", "[[slope]]\nid = \"a\"\nwot = \"b\"\n")
	badPage := file("p.md", "# A page\n<!-- capacity:begin none -->\n<!-- capacity:end -->\n")
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"--target", "none.toml"}, []string{"none.toml"}},
		{[]string{"--target", badTarget, "--slopes", slopes}, []string{`t\.toml: line 8: fleet\.nodes is 0`, `t\.toml: line 10: fleet\.zones is -6`}},
		{[]string{"--target", target, "--slopes", badSlopes}, []string{`s\.toml: line 3: there is no setting "slope\.wot"`}},
		{[]string{"--target", target, "--slopes", slopes, "--write", badPage}, []string{`p\.md: line 2: there is no table "none"`, `p\.md: the table "target" has no place`}},
		{[]string{"--target", target, "--slopes", slopes, "--write", filepath.Join(dir, "no.md")}, []string{`no\.md`}},
		{[]string{"--target", target, "--slopes", slopes, "--only", "nothing"}, []string{`no table "nothing"`}},
		{[]string{"--target", target, "--slopes", slopes, "--order", "--write", badPage}, []string{"--write takes neither"}},
		{[]string{"--taget", target}, []string{"--taget"}},
	} {
		code, _, e := cottonrack(append([]string{"capacity"}, c.args...)...)
		if code != exitWrongUse {
			t.Errorf("%v: exit code %d", c.args, code)
		}
		for _, want := range c.want {
			if !regexp.MustCompile(want).MatchString(e) {
				t.Errorf("%v: %s; wanted %s", c.args, e, want)
			}
		}
	}
	if left, err := filepath.Glob(filepath.Join(dir, "*.new")); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// constantOf is the value of a constant in a source file.
func constantOf(t *testing.T, name, place string) (float64, bool) {
	t.Helper()
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, filepath.Join(root, place), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		for _, s := range g.Specs {
			v := s.(*ast.ValueSpec)
			if len(v.Names) != 1 || v.Names[0].Name != name || len(v.Values) != 1 {
				continue
			}
			value, err := types.Eval(token.NewFileSet(), nil, token.NoPos, types.ExprString(v.Values[0]))
			if err != nil {
				t.Fatalf("%s in %s: %v", name, place, err)
			}
			n, _ := constant.Float64Val(constant.ToFloat(value.Value))
			return n, true
		}
	}
	return 0, false
}

// The bounds that lines end at are those of the code.
func TestCapacityFactsAreTheCodes(t *testing.T) {
	for _, f := range capacity.Bounds() {
		var got float64
		switch f.Name {
		case "DefaultMaxEndpoints":
			got = catalog.DefaultMaxEndpoints
		case "MaxChanges":
			got = catalog.MaxChanges
		case "Watch.MaxOpen":
			got = float64(directory.Defaults().Watch.MaxOpen)
		case "keep_kb": // a setting without a default; the page's example is what is deployed
			if strings.Contains(read(t, f.Place), "keep_kb = 256 ") {
				got = 256 << 10
			}
		case "defaultDiskMB":
			n, _ := constantOf(t, f.Name, f.Place)
			got = n * (1 << 20)
		case "loop":
			var all string
			names, err := filepath.Glob(root + "/internal/node/*.go")
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range names {
				if !strings.HasSuffix(name, "_test.go") {
					all += read(t, strings.TrimPrefix(name, root))
				}
			}
			got = float64(strings.Count(all, "n.loop("))
		default:
			got, _ = constantOf(t, f.Name, f.Place)
		}
		if got != f.Value {
			t.Errorf("%s in %s is %v, and taken to be %v", f.Name, f.Place, got, f.Value)
		}
	}
}

// What carries a line today is there.
func TestCapacityPlacesAreThere(t *testing.T) {
	target, err := capacity.ParseTarget([]byte(read(t, "docs/capacity/target.toml")))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range capacity.Compute(target, nil).Lines {
		if l.Mechanism == "missing" {
			continue
		}
		for place := range strings.SplitSeq(l.Mechanism, ", ") {
			if _, err := os.Stat(filepath.Join(root, place)); err != nil {
				t.Errorf("%s is carried by %s: %v", l.ID, place, err)
			}
		}
	}
}
