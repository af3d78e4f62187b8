// Package catalog implements the state of the list service: the list of endpoints with its revisions and
// recent changes, leases, small records, and a write that awaits confirmation. It is a deterministic state
// machine: replicas that apply the same commands in the same order have the same state. It reads no clock;
// the leader runs a LeaseManager, which proposes the commands that depend on time.
package catalog

import (
	"fmt"
	"math"
	"net"
	"strings"
)

// Phases of an endpoint.
const (
	Serving  = "SERVING"
	Draining = "DRAINING" // finishes its current work and takes no new messages
	Deleted  = "DELETED"  // occurs in changes only
)

// Bounds on input.
const (
	MaxNameBytes = 200 // bytes of an ID, a name or a holder
	// MaxEndpoints bounds the endpoints of an image, and the bound that a write may carry. It exceeds any
	// need and only prevents unlimited growth. It may be raised only once all replicas run a build with the
	// new value: an older one would refuse what newer ones accept, and the states would diverge.
	MaxEndpoints        = 2_000_000
	DefaultMaxEndpoints = 50_000 // endpoints, unless configured otherwise
	MaxRecords          = 10_000
	MaxValueBytes       = 64 << 10    // bytes of a record's value
	MaxTTLMS            = 86_400e3    // ms of a lease
	MinTTLMS            = 100         // ms of a lease; leaves time for renewals
	maxReasonBytes      = 4 * 1 << 10 // bytes of a reason
)

// Endpoint is a listed endpoint in the format of the platform's discovery.
type Endpoint struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // number of its partner
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix ms, 0: long ago
}

// List is the list of endpoints, or the changes since an earlier revision.
type List struct {
	Revision int64      `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []Endpoint `json:"members"`
	Map      int64      `json:"map,omitempty"` // number of the ownership map; only in lists of some partitions
}

// Validate checks an endpoint that is to be listed.
func (e Endpoint) Validate() error {
	if err := checkName("id", e.ID); err != nil {
		return err
	}
	if e.Phase == Deleted { // only the ID matters then
		return nil
	}
	if e.Phase != Serving && e.Phase != Draining {
		return fmt.Errorf("endpoint %q: phase is %q, want %s, %s or %s", e.ID, e.Phase, Serving, Draining, Deleted)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil || len(e.Addr) > MaxNameBytes {
		return fmt.Errorf("endpoint %q: host_port %q is not HOST:PORT", e.ID, e.Addr)
	}
	if e.Cell < 0 || e.UpSince < 0 || !(e.Size >= 0) || math.IsInf(e.Size, 0) {
		return fmt.Errorf("endpoint %q: cell, size and up_since_ms must be finite and not negative", e.ID)
	}
	if len(e.Locality) > MaxNameBytes || len(e.Flavor) > MaxNameBytes {
		return fmt.Errorf("endpoint %q: locality and flavor are limited to %d bytes", e.ID, MaxNameBytes)
	}
	return nil
}

func checkName(what, s string) error {
	if s == "" || len(s) > MaxNameBytes || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' || r == 0xfffd }) {
		return fmt.Errorf("%s %.40q must have 1 to %d bytes without spaces, slashes or control characters", what, s, MaxNameBytes)
	}
	return nil
}
