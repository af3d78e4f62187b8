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

// The tests run in the directory of the package.
const repositoryRoot = "../.."

func readFile(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repositoryRoot, name))
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

// isUpToDate reports whether the program, with the command that the page names, leaves the page unchanged. It
// works on a copy of the page.
func isUpToDate(t *testing.T, page, target, slopes string) bool {
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
	if code, _, e := cottonrack("capacity", "--target", file("target.toml", target), "--slopes", file("slopes.toml", slopes), "--write", p); code != exitOK {
		t.Fatalf("exit code %d: %s", code, e)
	}
	after, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(after) == page
}

func TestCapacityPageIsUpToDate(t *testing.T) {
	page, target, slopes := readFile(t, "docs/CAPACITY.md"), readFile(t, "docs/capacity/target.toml"), readFile(t, "docs/capacity/slopes.toml")
	if !isUpToDate(t, page, target, slopes) {
		t.Fatal("the tables of docs/CAPACITY.md differ from what the program prints: run cottonrack capacity --write docs/CAPACITY.md in the root of the repository")
	}
	// The check detects changes of a figure on the page, of the target and of a slope.
	changedPage := strings.Replace(page, "646,000", "645,000", 1)
	if changedPage == page || isUpToDate(t, changedPage, target, slopes) {
		t.Error("a changed figure on the page is not detected")
	}
	if other := strings.Replace(target, "nodes = 820", "nodes = 821", 1); other == target || isUpToDate(t, page, other, slopes) {
		t.Error("another target is not detected")
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
	if isUpToDate(t, page, target, string(more)) {
		t.Error("another slope is not detected")
	}
	// Text outside the tables is left alone.
	if prose := strings.Replace(page, "# Capacities", "# Capacities of ours", 1); !isUpToDate(t, prose, target, slopes) {
		t.Error("text outside the tables is not kept")
	}
}

// The program prints the same tables as the page has.
func TestCapacityPrintsTablesOfPage(t *testing.T) {
	files := []string{"capacity", "--target", repositoryRoot + "/docs/capacity/target.toml", "--slopes", repositoryRoot + "/docs/capacity/slopes.toml"}
	code, out, e := cottonrack(files...)
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, e)
	}
	page := readFile(t, "docs/CAPACITY.md")
	tables := regexp.MustCompile(`(?s)<!-- capacity:begin ([a-z-]+) -->\n(.*?)<!-- capacity:end -->`).FindAllStringSubmatch(page, -1)
	if len(tables) < 10 {
		t.Fatalf("the page has %d tables", len(tables))
	}
	help := regexp.MustCompile(`only these tables: ([a-z, -]+)\.`).FindStringSubmatch(helpText(t))
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
		if code != exitOK || !strings.HasSuffix(one, "\n\n"+m[2]+"\n") || strings.Count(one, "## ") != 1 {
			t.Errorf("--only %s: exit code %d, %s%s", m[1], code, one, e)
		}
	}
	code, out, e = cottonrack(append(files, "--order")...)
	if code != exitOK || strings.Count(out, "## ") != 2 || !strings.Contains(out, "## What waits for what") {
		t.Errorf("--order: exit code %d, %s%s", code, out, e)
	}
	code, out, e = cottonrack(append([]string{"--json"}, files...)...)
	var r capacity.Report
	if code != exitOK {
		t.Fatalf("--json: exit code %d: %s", code, e)
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Lines) < 50 || len(r.Steps) == 0 || r.Target.Fleet.Nodes != 820 {
		t.Errorf("--json: %v, %d lines", err, len(r.Lines))
	}
}

// helpText returns the output of --help without line breaks.
func helpText(t *testing.T) string {
	t.Helper()
	code, out, _ := cottonrack("capacity", "--help")
	if !strings.Contains(out, "cottonrack capacity --write docs/CAPACITY.md") {
		t.Errorf("--help, exit code %d: %s", code, out)
	}
	return strings.Join(strings.Fields(out), " ")
}

func TestCapacityUsageErrors(t *testing.T) {
	dir := t.TempDir()
	target, slopes := repositoryRoot+"/docs/capacity/target.toml", repositoryRoot+"/docs/capacity/slopes.toml"
	file := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	badTarget := file("t.toml", strings.Replace(strings.Replace(readFile(t, "docs/capacity/target.toml"), "nodes = 820", "nodes = 0", 1), "zones = 6", "zones = -6", 1))
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
		if code != exitUsage {
			t.Errorf("%v: exit code %d", c.args, code)
		}
		for _, want := range c.want {
			if !regexp.MustCompile(want).MatchString(e) {
				t.Errorf("%v: got %s; want %s", c.args, e, want)
			}
		}
	}
	if left, err := filepath.Glob(filepath.Join(dir, "*.new")); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// constantValue returns the value of a constant in a source file.
func constantValue(t *testing.T, name, place string) (float64, bool) {
	t.Helper()
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, filepath.Join(repositoryRoot, place), nil, 0)
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

// The bounds at which lines end are those in the code.
func TestCapacityBoundsMatchCode(t *testing.T) {
	for _, f := range capacity.Bounds() {
		var got float64
		switch f.Name {
		case "DefaultMaxEndpoints":
			got = catalog.DefaultMaxEndpoints
		case "MaxChanges":
			got = catalog.MaxChanges
		case "Watch.MaxOpen":
			got = float64(directory.Defaults().Watch.MaxOpen)
		case "keep_kb": // a setting without a default; the deployed value is in the page's example
			if strings.Contains(readFile(t, f.Place), "keep_kb = 256 ") {
				got = 256 << 10
			}
		case "defaultDiskMB":
			n, _ := constantValue(t, f.Name, f.Place)
			got = n * (1 << 20)
		case "loop":
			var all string
			names, err := filepath.Glob(repositoryRoot + "/internal/node/*.go")
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range names {
				if !strings.HasSuffix(name, "_test.go") {
					all += readFile(t, strings.TrimPrefix(name, repositoryRoot))
				}
			}
			got = float64(strings.Count(all, "n.loop("))
		default:
			got, _ = constantValue(t, f.Name, f.Place)
		}
		if got != f.Value {
			t.Errorf("%s in %s is %v, and the bounds say %v", f.Name, f.Place, got, f.Value)
		}
	}
}

// The files that are said to carry a line today exist.
func TestCapacityPlacesExist(t *testing.T) {
	target, err := capacity.ParseTarget([]byte(readFile(t, "docs/capacity/target.toml")))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range capacity.Compute(target, nil).Lines {
		if l.Mechanism == "missing" {
			continue
		}
		for place := range strings.SplitSeq(l.Mechanism, ", ") {
			if _, err := os.Stat(filepath.Join(repositoryRoot, place)); err != nil {
				t.Errorf("%s is carried by %s: %v", l.ID, place, err)
			}
		}
	}
}
