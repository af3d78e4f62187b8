// Package tomlfile reads TOML strictly and reports the line of each error. Callers use KeyLines to report the
// lines of values that are well formed but invalid.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is an error in a file and its place.
type Error struct {
	Line    int // 0: unknown, or the whole file
	Message string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Message)
}

// Decode decodes a text into the value that into points to. Its errors are of type *Error, all of them
// joined; unknown returns the message for a key that into has no field for.
func Decode(text []byte, into any, unknown func(name string) string) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		var all []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			all = append(all, &Error{row, unknown(strings.Join(e.Key(), "."))})
		}
		return errors.Join(all...)
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		return &Error{row, strings.TrimPrefix(wrong.Error(), "toml: ")}
	}
	return &Error{0, err.Error()}
}

// KeyLines returns the line of each key of a text that Decode accepted, by names like "fault[1].kind"; a
// table has the line of its header.
func KeyLines(text []byte) map[string]int {
	where, count, table := map[string]int{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			k := it.Node()
			parts = append(parts, string(k.Data))
			if line == 0 {
				line = p.Shape(k.Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, count[name])
			count[name]++
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			where[name] = line
			continue
		}
		where[table] = line
	}
	return where
}
