// Package docs_test compares the pages with the repository: each path and name that a page quotes must exist.
package docs_test

import (
	"bufio"
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root of the repository, seen from this package.
const root = ".."

// maxLine is the size of the longest line that a page may have, in bytes.
const maxLine = 1 << 20

var (
	codeSpan  = regexp.MustCompile("`([^`]+)`")
	word      = regexp.MustCompile(`[A-Za-z_]\w*`)
	pathForm  = regexp.MustCompile(`^(?:choice|cmd|fleet|internal|docs|experiments|deploy|\.ci)/[\w./-]*$`)
	fileForm  = regexp.MustCompile(`^[\w-]+\.(?:go|toml|md)$`)
	nameForm  = regexp.MustCompile(`^[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?$`)
	upperCase = regexp.MustCompile(`^[A-Z]+$`)
)

// plannedPackages are the packages that the roadmap names and that are not written yet.
var plannedPackages = map[string]bool{
	"fleet/rollout": true, "fleet/shares": true, "internal/gossip": true, "internal/model": true, "internal/release": true,
}

// foreignNames are names of other programs, libraries and the operating system, and of the days of the operators'
// bench.
var foreignNames = map[string]bool{
	"LimitListener": true, "SO_REUSEPORT": true, "TCP_NODELAY": true, "flock": true, "lbsim": true, "netutil": true,
	"sendfile": true, "splice": true, "strace": true, "throng": true,
}

// inventory is what a page may quote.
type inventory struct {
	names map[string]bool // identifiers, words in strings, and words of settings files and scripts
	files map[string]bool // names of files, without their folders
}

// Each code span of a page that has the form of a path, a file name or a name must stand for something in the
// repository. Spans of any other form, such as commands and log lines, are not checked.
func TestPagesNameWhatExists(t *testing.T) {
	inv := readInventory(t)
	for _, page := range pages(t) {
		for line, spans := range readCodeSpans(t, page) {
			for _, span := range spans {
				if problem := inv.problem(span); problem != "" {
					t.Errorf("%s:%d quotes %q: %s", page, line, span, problem)
				}
			}
		}
	}
}

func TestMissingNamesAreFound(t *testing.T) {
	inv := inventory{
		names: map[string]bool{"node": true, "Sender": true, "Step": true, "app": true},
		files: map[string]bool{"node.go": true},
	}
	for span, wantProblem := range map[string]bool{
		"Sender.Step": false, "node": false, "node.go": false, "docs/names_test.go": false, "a sentence of words": false,
		"app.CLASS": false, "internal/gossip": false,
		"Sender.Stop": true, "nodes.go": true, "docs/gone.md": true, "CLASS": true, "app.Class": true,
	} {
		if got := inv.problem(span) != ""; got != wantProblem {
			t.Errorf("%q: reported as missing: %v, want %v", span, got, wantProblem)
		}
	}
}

// problem tells what is wrong with a code span, or "" if nothing is.
func (inv inventory) problem(span string) string {
	switch {
	case plannedPackages[span]:
	case pathForm.MatchString(span):
		if _, err := os.Stat(filepath.Join(root, span)); err != nil {
			return "there is no such file"
		}
	case fileForm.MatchString(span):
		if !inv.files[span] && !inv.names[strings.TrimSuffix(span, filepath.Ext(span))] {
			return "no file has this name"
		}
	case nameForm.MatchString(span):
		for _, w := range word.FindAllString(span, -1) {
			if !inv.names[w] && !foreignNames[w] && !isPlaceholder(w, span) {
				return "no code has the name " + w
			}
		}
	}
	return ""
}

// isPlaceholder reports whether a word of a span stands for any word, as CLASS in app.ok.CLASS.
func isPlaceholder(w, span string) bool {
	return strings.Contains(span, ".") && upperCase.MatchString(w)
}

// pages returns the paths of all pages that are checked.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{filepath.Join(root, "README.md"), filepath.Join(root, "DEVELOPERS.md")}
	for _, pattern := range []string{"*.md", "incidents/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return all
}

// readCodeSpans returns the code spans of a page by line number. Code blocks, fenced or indented, are left out.
func readCodeSpans(t *testing.T, page string) map[int][]string {
	t.Helper()
	f, err := os.Open(page)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	spans := map[int][]string{}
	fenced := false
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		if strings.HasPrefix(text, "```") {
			fenced = !fenced
		}
		if fenced || strings.HasPrefix(text, "    ") {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
			spans[n] = append(spans[n], match[1])
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return spans
}

// readInventory reads the repository, without the bench's journal, built programs and this file.
func readInventory(t *testing.T) inventory {
	t.Helper()
	inv := inventory{names: map[string]bool{}, files: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch d.Name() {
			case ".git", "bin", "journal":
				return filepath.SkipDir
			}
			return nil
		}
		inv.files[d.Name()] = true
		addWords(inv.names, strings.TrimSuffix(d.Name(), filepath.Ext(d.Name())))
		if path == filepath.Join(root, "docs", "names_test.go") {
			return nil
		}
		return inv.addContent(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

// addContent adds the names that a file of code or settings holds. Comments of Go files don't count.
func (inv inventory) addContent(path string) error {
	switch filepath.Ext(path) {
	case ".go", ".toml", ".txtar", ".mod", ".json", "":
	default:
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if filepath.Ext(path) != ".go" {
		addWords(inv.names, string(text))
		return nil
	}
	addGoWords(inv.names, text)
	return nil
}

// addGoWords adds the identifiers of a Go file and the words in its strings.
func addGoWords(names map[string]bool, text []byte) {
	var s scanner.Scanner
	s.Init(token.NewFileSet().AddFile("", -1, len(text)), text, nil, 0)
	for {
		_, tok, literal := s.Scan()
		switch tok {
		case token.EOF:
			return
		case token.IDENT, token.STRING:
			addWords(names, literal)
		}
	}
}

func addWords(names map[string]bool, text string) {
	for _, w := range word.FindAllString(text, -1) {
		names[w] = true
	}
}
