package members

import (
	"fmt"
	"testing"

	"starlingusher/internal/golden"
)

func TestNamesOfStatesAndSides(t *testing.T) {
	text := ""
	for s := range stateNames {
		text += fmt.Sprintln("state", s, State(s))
	}
	for s := range sideNames {
		text += fmt.Sprintln("side", s, Side(s))
	}
	golden.Check(t, "names.txt", []byte(text))
}
