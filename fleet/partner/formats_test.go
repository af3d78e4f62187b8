package partner

import (
	"fmt"
	"testing"

	"starlingusher/internal/golden"
)

func TestFaultKindNames(t *testing.T) {
	golden.Check(t, "troubles.txt", fmt.Appendln(nil, Slow, Lossy, Failing, Rejecting, Silent, Down))
}
