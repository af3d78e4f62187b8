package knownred

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// newRepository writes a module with a list and one file of tests.
func newRepository(t *testing.T, list, tests string) string {
	t.Helper()
	root := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module example\n\ngo 1.24\n", FileName: list, "part/part.go": "package part\n", "part/part_test.go": tests,
	} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

const header = "package part\n\nimport \"testing\"\n\n"

func loadAndRun(t *testing.T, root string) (string, error) {
	t.Helper()
	tests, err := Load(root)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err = Run(t.Context(), root, tests, &out)
	return out.String(), err
}

// A test behind a build tag runs with its tag, so that its failure is its own and its success is noticed. Without the tag
// the go tool has no files, which looked like the known failure.
func TestTaggedTestRuns(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"fails", `t.Error("seen")`, "TestRed fails, as is known"},
		{"passes", ``, "TestRed passes; its line has to go"},
		{"panics", `panic("seen")`, "TestRed fails, as is known"},
	} {
		t.Run(c.name, func(t *testing.T) {
			root := newRepository(t, "TestRed, a cause, issue 1\n", "//go:build slow\n\n"+header+"func TestRed(t *testing.T) { "+c.body+" }\n")
			out, err := loadAndRun(t, root)
			if err != nil || !strings.Contains(out, c.want) {
				t.Errorf("got %v and %s", err, out)
			}
		})
	}
}

// A test that does not run is an error: nobody would notice that its fault is mended.
func TestTestThatDoesNotRunIsAnError(t *testing.T) {
	for name, tests := range map[string]string{
		"skipped":          header + "func TestRed(t *testing.T) { t.Skip() }\n",
		"does not compile": header + "func TestRed(t *testing.T) { missing() }\n",
		"is no test":       "package part\n\nfunc TestRed() {}\n",
	} {
		t.Run(name, func(t *testing.T) {
			out, err := loadAndRun(t, newRepository(t, "TestRed, a cause, issue 1\n", tests))
			if !errors.Is(err, errNotRun) {
				t.Errorf("got %v and %s", err, out)
			}
		})
	}
}

// A list that names no single test, or is not of its form, is an error.
func TestInvalidLists(t *testing.T) {
	const one = header + "func TestRed(t *testing.T) {}\n"
	for name, c := range map[string]struct{ list, tests string }{
		"no issue":      {"TestRed, a cause\n", one},
		"no cause":      {"TestRed, , issue 1\n", one},
		"no such test":  {"TestOther, a cause, issue 1\n", one},
		"too many":      {strings.Repeat("TestRed, a cause, issue 1\n", maxEntries+1), one},
		"two tags":      {"TestRed, a cause, issue 1\n", "//go:build slow && linux\n\n" + one},
		"not a test":    {"Red, a cause, issue 1\n", one},
		"no Go program": {"TestRed, a cause, issue 1\n", "package"},
	} {
		if tests, err := Load(newRepository(t, c.list, c.tests)); err == nil {
			t.Errorf("%s: got %v", name, tests)
		}
	}
}

func TestSkipPattern(t *testing.T) {
	if got := SkipPattern([]Test{{Name: "TestA"}, {Name: "TestB"}}); got != "^(TestA|TestB)$" {
		t.Errorf("got %q", got)
	}
	if got := SkipPattern(nil); got != "" {
		t.Errorf("got %q", got)
	}
	if tests, err := Load(t.TempDir()); err != nil || len(tests) != 0 {
		t.Errorf("without a list: %v, %v", tests, err)
	}
}
