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
	byName := map[string]Section{}
	for _, s := range sections {
		byName[s.Name] = s
	}
	var out strings.Builder
	var errs []error
	addError := func(line int, format string, args ...any) {
		errs = append(errs, &Error{Line: line, Message: fmt.Sprintf(format, args...)})
	}
	seen := map[string]bool{}
	beginLine, openTable := 0, "" // line of a begin mark whose end mark has not been seen; 0: none
	for i, line := range strings.SplitAfter(string(page), "\n") {
		mark := strings.TrimSpace(line)
		switch name, isBegin := strings.CutPrefix(mark, beginMark); {
		case isBegin && beginLine > 0:
			addError(i+1, "a table begins before the end of table %q of line %d", openTable, beginLine)
		case isBegin:
			name = strings.TrimSuffix(name, markEnds)
			s, ok := byName[name]
			if !ok {
				addError(i+1, "there is no table %q", name)
			}
			if seen[name] {
				addError(i+1, "duplicate table %q", name)
			}
			seen[name] = true
			beginLine, openTable = i+1, name
			out.WriteString(beginMark + name + markEnds + "\n" + s.Table + endMark + "\n")
		case mark == endMark && beginLine == 0:
			addError(i+1, "end mark without a begin mark")
		case mark == endMark:
			beginLine = 0
		case beginLine == 0:
			out.WriteString(line)
		}
	}
	if beginLine > 0 {
		addError(beginLine, "the table %q has no end mark", openTable)
	}
	for _, s := range sections {
		if !seen[s.Name] {
			addError(0, "the table %q has no place: put %s%s%s and %s where it belongs", s.Name, beginMark, s.Name, markEnds, endMark)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return []byte(out.String()), nil
}
