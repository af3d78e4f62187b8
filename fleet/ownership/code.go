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

// MaxEncodedBytes is the size limit of an encoded map, given by the size of a directory record. With 2,000
// members there is room for names of about 18 bytes, with 820 members for about 50.
const MaxEncodedBytes = 64 << 10

// An encoded map consists of a magic string, the hash of the body, and the body in CBOR.
const (
	magic     = "own1"
	headerLen = len(magic) + 8
)

// encodedMap is the encoded form of a map. Owners are indexes into Members, each with as many bits as the
// last index needs, highest bit first.
type encodedMap struct {
	_       struct{} `cbor:",toarray"`
	Number  int64
	Copies  int
	Zones   []string // sorted
	Members []encodedMember
	Owners  []byte
}

type encodedMember struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Zone   int // index into Zones
	Weight float64
}

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: MaxMembers, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// ownerBits returns the bits of one owner's index among n members; 0 if there is only one.
func ownerBits(n int) int { return bits.Len(uint(n - 1)) }

// Encode returns the encoded map. A map of more than MaxEncodedBytes is an error: its names are too long.
func (m *Map) Encode() ([]byte, error) {
	c := encodedMap{Number: m.Number, Copies: m.OwnersPerPartition, Zones: []string{}, Members: []encodedMember{}}
	for _, member := range m.Members {
		c.Zones = append(c.Zones, member.Zone)
	}
	slices.Sort(c.Zones)
	c.Zones = slices.Compact(c.Zones)
	for _, member := range m.Members {
		z, _ := slices.BinarySearch(c.Zones, member.Zone)
		c.Members = append(c.Members, encodedMember{Name: member.Name, Zone: z, Weight: member.Weight})
	}
	bitsEach := ownerBits(len(m.Members))
	c.Owners = make([]byte, (len(m.owners)*bitsEach+7)/8)
	at := 0
	for _, o := range m.owners {
		for b := bitsEach - 1; b >= 0; b-- {
			c.Owners[at/8] |= byte(o>>b&1) << (7 - at%8)
			at++
		}
	}
	body, err := encMode.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode ownership map: %w", err)
	}
	if headerLen+len(body) > MaxEncodedBytes {
		return nil, fmt.Errorf("%w: encoded size %d exceeds %d bytes; use shorter member names", ErrInvalid, headerLen+len(body), MaxEncodedBytes)
	}
	out := append(make([]byte, 0, headerLen+len(body)), magic...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode reads what Encode wrote and accepts nothing else, not even another encoding of the same map. It
// checks that the owners of a partition are distinct and as many as required; it does not check zones and
// loads, so that a map made by the different rules of a later build can be followed. Errors are ErrInvalid.
func Decode(raw []byte) (*Map, error) {
	if len(raw) > MaxEncodedBytes || len(raw) < headerLen || string(raw[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %d bytes that do not begin as a map", ErrInvalid, len(raw))
	}
	body := raw[headerLen:]
	if binary.BigEndian.Uint64(raw[len(magic):]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: hash mismatch", ErrInvalid)
	}
	var c encodedMap
	if err := decMode.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	m := &Map{Number: c.Number, OwnersPerPartition: c.Copies, Members: make([]Member, 0, len(c.Members))}
	for _, member := range c.Members {
		if member.Zone < 0 || member.Zone >= len(c.Zones) {
			return nil, fmt.Errorf("%w: member %.40q: zone index %d of %d zones", ErrInvalid, member.Name, member.Zone, len(c.Zones))
		}
		m.Members = append(m.Members, Member{Name: member.Name, Zone: c.Zones[member.Zone], Weight: member.Weight})
	}
	if err := validate(m.Number, m.OwnersPerPartition, m.Members); err != nil {
		return nil, err
	}
	bitsEach, count := ownerBits(len(m.Members)), PartitionCount*m.ownersEach()
	if len(c.Owners) != (count*bitsEach+7)/8 {
		return nil, fmt.Errorf("%w: owners have %d bytes, want %d", ErrInvalid, len(c.Owners), (count*bitsEach+7)/8)
	}
	m.owners = make([]uint16, count)
	at := 0
	for i := range m.owners {
		for range bitsEach {
			m.owners[i] = m.owners[i]<<1 | uint16(c.Owners[at/8]>>(7-at%8)&1)
			at++
		}
	}
	for p := range PartitionCount {
		owners := m.ownerIndexes(p)
		for i, o := range owners {
			if int(o) >= len(m.Members) || slices.Contains(owners[:i], o) {
				return nil, fmt.Errorf("%w: an owner of partition %d is duplicate or not a member", ErrInvalid, p)
			}
		}
	}
	if reencoded, err := m.Encode(); err != nil || !bytes.Equal(reencoded, raw) {
		return nil, fmt.Errorf("%w: not in canonical encoding", ErrInvalid)
	}
	return m, nil
}
