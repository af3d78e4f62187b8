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

// UpdatePage returns a page with its tables replaced: the lines between the marks of a section become its
// table, all others stay. Each section must be on the page exactly once. Its errors are of type *Error, all
// of them joined.
func UpdatePage(page []byte, sections []Section) ([]byte, error) {
	of := map[string]Section{}
	for _, s := range sections {
		of[s.Name] = s
	}
	var out strings.Builder
	var found []error
	bad := func(line int, format string, args ...any) {
		found = append(found, &Error{Line: line, Message: fmt.Sprintf(format, args...)})
	}
	seen := map[string]bool{}
	begun, open := 0, "" // line of a begin mark whose end mark has not been seen; 0: none
	for i, line := range strings.SplitAfter(string(page), "\n") {
		mark := strings.TrimSpace(line)
		switch name, isBegin := strings.CutPrefix(mark, beginMark); {
		case isBegin && begun > 0:
			bad(i+1, "a table begins before the end of table %q of line %d", open, begun)
		case isBegin:
			name = strings.TrimSuffix(name, markEnds)
			s, ok := of[name]
			if !ok {
				bad(i+1, "there is no table %q", name)
			}
			if seen[name] {
				bad(i+1, "duplicate table %q", name)
			}
			seen[name] = true
			begun, open = i+1, name
			out.WriteString(beginMark + name + markEnds + "\n" + s.Table + endMark + "\n")
		case mark == endMark && begun == 0:
			bad(i+1, "end mark without a begin mark")
		case mark == endMark:
			begun = 0
		case begun == 0:
			out.WriteString(line)
		}
	}
	if begun > 0 {
		bad(begun, "the table %q has no end mark", open)
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
