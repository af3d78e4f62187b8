package ownership

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxBytes of an encoded map: what a record of the directory holds. At 2,000 members it has room for names of some 18
// bytes, at 820 for some 50.
const MaxBytes = 64 << 10

// An encoded map is a mark, the hash of what follows, and that in CBOR.
const (
	mark    = "own1"
	sealLen = len(mark) + 8
)

// coded is a map as it is written. Owners are places in Members, of as many bits each as the last place has, highest
// bit first.
type coded struct {
	_       struct{} `cbor:",toarray"`
	Number  int64
	Copies  int
	Zones   []string // in order
	Members []codedMember
	Owners  []byte
}

type codedMember struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Zone   int // in Zones
	Weight float64
}

var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: MaxMembers, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// width is the bits of one owner among n members; 0 for the only one.
func width(n int) int { return bits.Len(uint(n - 1)) }

// Encode writes the map. One that would have more than MaxBytes is an error: its names are too long.
func (m *Map) Encode() ([]byte, error) {
	c := coded{Number: m.Number, Copies: m.Copies, Zones: []string{}, Members: []codedMember{}}
	for _, member := range m.Members {
		c.Zones = append(c.Zones, member.Zone)
	}
	slices.Sort(c.Zones)
	c.Zones = slices.Compact(c.Zones)
	for _, member := range m.Members {
		z, _ := slices.BinarySearch(c.Zones, member.Zone)
		c.Members = append(c.Members, codedMember{Name: member.Name, Zone: z, Weight: member.Weight})
	}
	wide := width(len(m.Members))
	c.Owners = make([]byte, (len(m.owners)*wide+7)/8)
	at := 0
	for _, o := range m.owners {
		for b := wide - 1; b >= 0; b-- {
			c.Owners[at/8] |= byte(o>>b&1) << (7 - at%8)
			at++
		}
	}
	body, err := encoding.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("ownership map: %w", err)
	}
	if sealLen+len(body) > MaxBytes {
		return nil, fmt.Errorf("%w: encoded it has %d bytes, %d at most; shorter names", ErrBad, sealLen+len(body), MaxBytes)
	}
	out := append(make([]byte, 0, sealLen+len(body)), mark...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode reads what Encode wrote, and takes nothing else, not even another writing of the same map. That a partition's
// owners are distinct and as many as they must be is looked at; zones and loads are not, so that a map which a later
// build makes by other rules can be followed. Errors are ErrBad.
func Decode(raw []byte) (*Map, error) {
	if len(raw) > MaxBytes || len(raw) < sealLen || string(raw[:len(mark)]) != mark {
		return nil, fmt.Errorf("%w: %d bytes that do not begin as a map", ErrBad, len(raw))
	}
	body := raw[sealLen:]
	if binary.BigEndian.Uint64(raw[len(mark):]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: the bytes are not those that were written", ErrBad)
	}
	var c coded
	if err := decoding.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBad, err)
	}
	m := &Map{Number: c.Number, Copies: c.Copies, Members: make([]Member, 0, len(c.Members))}
	for _, member := range c.Members {
		if member.Zone < 0 || member.Zone >= len(c.Zones) {
			return nil, fmt.Errorf("%w: member %.40q is in zone %d of %d", ErrBad, member.Name, member.Zone, len(c.Zones))
		}
		m.Members = append(m.Members, Member{Name: member.Name, Zone: c.Zones[member.Zone], Weight: member.Weight})
	}
	if err := check(m.Number, m.Copies, m.Members); err != nil {
		return nil, err
	}
	wide, all := width(len(m.Members)), Partitions*m.per()
	if len(c.Owners) != (all*wide+7)/8 {
		return nil, fmt.Errorf("%w: %d bytes of owners, not %d", ErrBad, len(c.Owners), (all*wide+7)/8)
	}
	m.owners = make([]uint16, all)
	at := 0
	for i := range m.owners {
		for range wide {
			m.owners[i] = m.owners[i]<<1 | uint16(c.Owners[at/8]>>(7-at%8)&1)
			at++
		}
	}
	for p := range Partitions {
		owners := m.of(p)
		for i, o := range owners {
			if int(o) >= len(m.Members) || slices.Contains(owners[:i], o) {
				return nil, fmt.Errorf("%w: an owner of partition %d is there twice or no member", ErrBad, p)
			}
		}
	}
	if again, err := m.Encode(); err != nil || !bytes.Equal(again, raw) {
		return nil, fmt.Errorf("%w: it is not written as a map is", ErrBad)
	}
	return m, nil
}
