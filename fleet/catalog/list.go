// Package catalog is the state of the list service: the list of endpoints with its revisions, the changes that led to
// it, leases, small records, and what is held back. It is a pure state machine: commands go in, in one order, and every
// replica that has applied the same commands has the same state. No clock is read here: what depends on time is asked
// for by a Keeper, which the leader runs and hands the time.
package catalog

import (
	"fmt"
	"math"
	"net"
	"strings"
)

// The phases of an endpoint.
const (
	Serving  = "SERVING"
	Draining = "DRAINING" // finishes what it has and wants nothing new
	Deleted  = "DELETED"  // only among changes
)

// Bounds of what comes from outside.
const (
	MaxName = 200 // bytes of an ID, a name or a holder
	// MaxMembers is how many endpoints an image, or a write, can name as its bound: far above what anyone needs, and only there
	// so that nothing grows without end. It may be raised only when all replicas have the build that has it so: an older one
	// would refuse what the newer take, and their states would part.
	MaxMembers   = 2_000_000
	UsualMembers = 50_000      // endpoints of the list, where nothing else is set
	MaxRecords   = 10_000      // records
	MaxValue     = 64 << 10    // bytes of a record's value
	MaxTTL       = 86_400e3    // ms of a lease
	MinTTL       = 100         // ms of a lease: renewals must fit between
	maxText      = 4 * 1 << 10 // bytes of a reason
)

// Endpoint is one of the list, in the platform's form.
type Endpoint struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // its partner
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix time, 0 for long ago
}

// List is the list of endpoints, whole or as changes.
type List struct {
	Revision int64      `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []Endpoint `json:"members"`
	Map      int64      `json:"map,omitempty"` // number of the map of partitions; only in lists of some partitions
}

// Check tells what is wrong with an endpoint that somebody wants listed.
func (e Endpoint) Check() error {
	if err := checkName("id", e.ID); err != nil {
		return err
	}
	if e.Phase == Deleted { // nothing else of it counts
		return nil
	}
	if e.Phase != Serving && e.Phase != Draining {
		return fmt.Errorf("endpoint %q: phase %q is none of %s, %s, %s", e.ID, e.Phase, Serving, Draining, Deleted)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil || len(e.Addr) > MaxName {
		return fmt.Errorf("endpoint %q: host_port %q is not HOST:PORT", e.ID, e.Addr)
	}
	if e.Cell < 0 || e.UpSince < 0 || !(e.Size >= 0) || math.IsInf(e.Size, 0) {
		return fmt.Errorf("endpoint %q: cell, size and up_since_ms are finite and 0 or more", e.ID)
	}
	if len(e.Locality) > MaxName || len(e.Flavor) > MaxName {
		return fmt.Errorf("endpoint %q: locality and flavor have %d bytes at most", e.ID, MaxName)
	}
	return nil
}

func checkName(what, s string) error {
	if s == "" || len(s) > MaxName || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' || r == 0xfffd }) {
		return fmt.Errorf("%s %.40q: 1 to %d bytes without spaces, slashes and control characters", what, s, MaxName)
	}
	return nil
}
