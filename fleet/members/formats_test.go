package members

import (
	"fmt"
	"testing"

	"starlingusher/internal/golden"
)

func TestNamesOfStatesAndSides(t *testing.T) {
	text := ""
	for s := range states {
		text += fmt.Sprintln("state", s, State(s))
	}
	for s := range sides {
		text += fmt.Sprintln("side", s, Side(s))
	}
	golden.Check(t, "names.txt", []byte(text))
}
