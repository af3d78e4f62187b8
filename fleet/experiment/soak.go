package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// soakBase is what all days of a soak have in common. Deadlines are short, so that all final answers are seen.
const soakBase = `
length = "9s"
settle = "6500ms"
[fleet]
nodes = "3..6"
sockets = "256..640"
[load]
rate = "40..80"
clumps = 0.1
rude = 2
[network]
same = "1ms"
cross = "5ms"
[discovery]
delay = "100ms..400ms"
[[class]]
name = "order"
share = 0.4
aim = "1500ms"
deadline = "6s"
worth = 1
late_worth = 0.5
effect = "keyed"
window = "3s"
[[class]]
name = "notice"
share = 0.35
aim = "1s"
deadline = "3s"
worth = 2
effect = "safe"
[[class]]
name = "payout"
share = 0.25
aim = "1500ms"
deadline = "6s"
worth = 5
late_worth = 0.4
effect = "unsafe"
kinds = ["bulk"]
[[partner]]
kind = "bulk"
count = 2
endpoints = 2
batch = 10
pace = "40ms..80ms"
limit = "count"
headroom = "1.5..2"
least_rate = 5
tells_wait = 0.8
[[partner]]
kind = "hook"
count = 3
endpoints = "1..2"
pace = "40ms..80ms"
headroom = "1.5..2"
least_rate = 5
counts_refused = true
[expect]
lateness = "100ms"
`

// soakFault is a fault that a day of a soak may have, and the chance that it does.
type soakFault struct {
	chance float64
	text   string // of the fault's table, without its kind and time
	kind   string
}

// soakFaults are drawn for each day, besides its restarts.
var soakFaults = []soakFault{
	{0.5, "size = \"50..150\"\nshare = 1\nfor = \"8s\"", "hold-up"},
	{0.4, "size = \"60..200\"\nshare = 0.4\nfor = \"4s..8s\"", "crowd"},
	{0.5, "size = \"-3600..3600\"\nshare = 0.7", "clock-step"},
	{0.4, "size = \"-20..20\"\nshare = 1", "clock-step"},
	{0.4, "size = \"0.05..0.5\"\nshare = 0.5\nfor = \"1s..4s\"", "folder-errors"},
	{0.4, "size = \"0.05..0.5\"\nshare = 0.5\nfor = \"1s..4s\"", "socket-errors"},
	{0.3, "share = 0.4", "move"},
	{0.3, "part = 0.3\nsize = 1.5", "replace"},
	{0.4, "part = 0.4\nfor = \"1s..4s\"", "silent"},
	{0.3, "part = 0.4\nfor = \"1s..3s\"", "shut"},
	{0.3, "share = 0.5\npart = 0.5\nfor = \"500ms..2s\"", "cut"},
	{0.3, "share = 0.5\npart = 0.5", "reset"},
	{0.2, "share = 0.5\nfor = \"1s..3s\"", "silent-list"},
}

// soakStart and soakSpan bound when faults begin, in milliseconds.
const soakStart, soakSpan = 500, 7000

// SoakFile draws a day of a soak: a small fleet in which nodes are restarted in every way while faults of partners,
// links, discovery and the machines go on. Half of the steps of the clock come while a node is down.
func SoakFile(seed uint64) (File, error) {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"soak\"\n%s", soakBase)
	fault := func(kind string, at int, rest string) {
		fmt.Fprintf(&text, "[[fault]]\nkind = %q\nat = \"%dms\"\n%s\n", kind, at, rest)
	}
	drawTime := func() int { return soakStart + r.IntN(soakSpan) }
	killAt := drawTime()
	fault("kill", killAt, "nodes = [1]\nfor = \"600ms\"")
	fault([]string{"restart", "signals"}[r.IntN(2)], drawTime(), "nodes = [0]")
	if r.Float64() < 0.6 { // messages outlast the kill
		fault("shut", max(killAt-1500, 0), "part = 0.5\nfor = \"5s\"")
	}
	for _, f := range soakFaults {
		if r.Float64() >= f.chance {
			continue
		}
		at := drawTime()
		if f.kind == "clock-step" && r.IntN(2) == 0 {
			at = killAt + r.IntN(600)
		}
		fault(f.kind, at, f.text)
	}
	return Parse([]byte(text.String()))
}
