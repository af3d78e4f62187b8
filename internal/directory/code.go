package directory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"starlingusher/fleet/catalog"
)

// What is kept on a disk stands behind a mark and the hash of its bytes, so that damage is seen as such.
const (
	commandMark = "cmd1"
	backupMark  = "bak1"
	sealLen     = 4 + 8
	maxBackup   = 1 << 30 // bytes; catalog.MaxMembers endpoints of some 170 bytes are a third of it
	maxCommand  = 64 << 20
)

var errDamaged = errors.New("damaged")

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 2 * catalog.MaxMembers, MaxMapPairs: 2 * catalog.MaxMembers, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

func seal(mark string, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, sealLen+len(body))
	out = append(out, mark...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

func unseal(mark string, raw []byte, v any) error {
	if len(raw) < sealLen || string(raw[:4]) != mark {
		return fmt.Errorf("%w: it does not begin as one of ours", errDamaged)
	}
	body := raw[sealLen:]
	if binary.BigEndian.Uint64(raw[4:]) != xxhash.Sum64(body) {
		return fmt.Errorf("%w: its bytes are not those that were written", errDamaged)
	}
	if err := decoding.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	return nil
}

// EncodeBackup writes a state's image as backups and snapshots hold it.
func EncodeBackup(i catalog.Image) ([]byte, error) { return seal(backupMark, i) }

// DecodeBackup reads one. What is damaged, or can't be a state, is an error.
func DecodeBackup(r io.Reader) (catalog.Image, error) {
	var i catalog.Image
	raw, err := io.ReadAll(io.LimitReader(r, maxBackup+1))
	if err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	if len(raw) > maxBackup {
		return i, fmt.Errorf("backup: more than %d MB", maxBackup>>20)
	}
	if err := unseal(backupMark, raw, &i); err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	if _, err := catalog.Load(i); err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	return i, nil
}

// sealed tells whether a command is as it was written.
func sealed(raw []byte) bool {
	return len(raw) >= sealLen && string(raw[:4]) == commandMark && binary.BigEndian.Uint64(raw[4:]) == xxhash.Sum64(raw[sealLen:])
}
