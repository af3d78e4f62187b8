package capacity

import (
	"errors"
	"fmt"
	"strings"
)

const (
	beginMark = "<!-- capacity:begin "
	endMark   = "<!-- capacity:end -->"
	markEnds  = " -->"
)

// Page is a page with its tables brought up to date: what stands between the marks of a section is replaced by its table,
// the rest stays as it is. Each section has its place on the page once. Its errors are of type *Error, all that were found, joined.
func Page(page []byte, sections []Section) ([]byte, error) {
	of := map[string]Section{}
	for _, s := range sections {
		of[s.Name] = s
	}
	var out strings.Builder
	var found []error
	bad := func(line int, format string, args ...any) {
		found = append(found, &Error{Line: line, Text: fmt.Sprintf(format, args...)})
	}
	seen := map[string]bool{}
	begun, open := 0, "" // the line of the mark that awaits its end
	for i, line := range strings.SplitAfter(string(page), "\n") {
		mark := strings.TrimSpace(line)
		switch name, isBegin := strings.CutPrefix(mark, beginMark); {
		case isBegin && begun > 0:
			bad(i+1, "a table begins before the end of %q of line %d", open, begun)
		case isBegin:
			name = strings.TrimSuffix(name, markEnds)
			s, ok := of[name]
			if !ok {
				bad(i+1, "there is no table %q", name)
			}
			if seen[name] {
				bad(i+1, "the table %q stands there twice", name)
			}
			seen[name] = true
			begun, open = i+1, name
			out.WriteString(beginMark + name + markEnds + "\n" + s.Table + endMark + "\n")
		case mark == endMark && begun == 0:
			bad(i+1, "a table ends that has not begun")
		case mark == endMark:
			begun = 0
		case begun == 0:
			out.WriteString(line)
		}
	}
	if begun > 0 {
		bad(begun, "the table %q has no end", open)
	}
	for _, s := range sections {
		if !seen[s.Name] {
			bad(0, "the table %q has no place: put %s%s%s and %s where it belongs", s.Name, beginMark, s.Name, markEnds, endMark)
		}
	}
	if err := errors.Join(found...); err != nil {
		return nil, err
	}
	return []byte(out.String()), nil
}
