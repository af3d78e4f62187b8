// Package knownred reads KNOWN-RED.txt, the list of tests that fail for a fault which is not mended yet, and runs these
// tests apart from all others.
package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/build/constraint"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const (
	// FileName is the name of the list at the root of the repository.
	FileName = "KNOWN-RED.txt"
	// maxEntries is the number of tests that the list may hold.
	maxEntries = 3
)

// entryForm is "TestName, cause, issue".
var entryForm = regexp.MustCompile(`^(Test[A-Za-z0-9_]+),.*[^\s].*,.*[^\s]`)

// Test is a test of the list and where it stands.
type Test struct {
	Name    string
	Line    string // its line in the list
	Package string // its folder, relative to the root
	Tag     string // the build tag of its file; empty if it has none
}

// errNotRun reports that a test of the list was not run.
var errNotRun = errors.New("the test did not run")

// Load reads the list at the root of a repository and finds its tests. Without a list there are none.
func Load(root string) ([]Test, error) {
	file, err := os.Open(filepath.Join(root, FileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", FileName, err)
	}
	defer file.Close()
	tests, err := parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", FileName, err)
	}
	for i := range tests {
		if err := tests[i].find(root); err != nil {
			return nil, fmt.Errorf("%s: %w", FileName, err)
		}
	}
	return tests, nil
}

// parse reads the lines of the list.
func parse(list io.Reader) (tests []Test, err error) {
	lines := bufio.NewScanner(list)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		form := entryForm.FindStringSubmatch(line)
		if form == nil {
			return nil, fmt.Errorf("not of the form \"TestName, cause, issue\": %s", line)
		}
		tests = append(tests, Test{Name: form[1], Line: line})
	}
	if len(tests) > maxEntries {
		return nil, fmt.Errorf("%d tests, %d at most", len(tests), maxEntries)
	}
	return tests, lines.Err()
}

// find sets the package and the tag of a test, which has to stand in one file.
func (t *Test) find(root string) error {
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if !declares(file, t.Name) {
			return nil
		}
		found = append(found, path)
		if t.Package, err = filepath.Rel(root, filepath.Dir(path)); err != nil {
			return err
		}
		t.Tag, err = buildTag(file)
		return err
	})
	if err == nil && len(found) != 1 {
		err = fmt.Errorf("there is not one %s: %v", t.Name, found)
	}
	return err
}

// declares reports whether a file declares a function of that name.
func declares(file *ast.File, name string) bool {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil && function.Name.Name == name {
			return true
		}
	}
	return false
}

// buildTag returns the tag that a file needs, or "". A file that needs more than one tag is an error.
func buildTag(file *ast.File) (string, error) {
	for _, group := range file.Comments {
		for _, comment := range group.List {
			if comment.Pos() >= file.Package || !constraint.IsGoBuild(comment.Text) {
				continue
			}
			expression, err := constraint.Parse(comment.Text)
			if err != nil {
				return "", err
			}
			tag, ok := expression.(*constraint.TagExpr)
			if !ok {
				return "", fmt.Errorf("the constraint %s is not a single tag", expression)
			}
			return tag.Tag, nil
		}
	}
	return "", nil
}

// SkipPattern returns the pattern that leaves the tests out, for the flag -skip of go test; empty for none.
func SkipPattern(tests []Test) string {
	if len(tests) == 0 {
		return ""
	}
	names := make([]string, len(tests))
	for i, test := range tests {
		names[i] = test.Name
	}
	return "^(" + strings.Join(names, "|") + ")$"
}
