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

// Stored data begins with a mark and a hash of its bytes, so that damage is detected.
const (
	commandMark         = "cmd1"
	backupMark          = "bak1"
	checksumHeaderBytes = 4 + 8
	maxBackupBytes      = 1 << 30 // bytes; catalog.MaxEndpoints endpoints of about 170 bytes take a third of it
	maxCommandBytes     = 64 << 20
)

var errDamaged = errors.New("damaged")

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 2 * catalog.MaxEndpoints, MaxMapPairs: 2 * catalog.MaxEndpoints, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func encodeWithChecksum(mark string, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, checksumHeaderBytes+len(body))
	out = append(out, mark...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

func decodeWithChecksum(mark string, raw []byte, v any) error {
	if len(raw) < checksumHeaderBytes || string(raw[:4]) != mark {
		return fmt.Errorf("%w: unknown file type", errDamaged)
	}
	body := raw[checksumHeaderBytes:]
	if binary.BigEndian.Uint64(raw[4:]) != xxhash.Sum64(body) {
		return fmt.Errorf("%w: checksum mismatch", errDamaged)
	}
	if err := decodeMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	return nil
}

// EncodeBackup encodes an image for a backup or a snapshot.
func EncodeBackup(i catalog.Image) ([]byte, error) { return encodeWithChecksum(backupMark, i) }

// DecodeBackup decodes a backup. It rejects damaged data and images that no state can have produced.
func DecodeBackup(r io.Reader) (catalog.Image, error) {
	var i catalog.Image
	raw, err := io.ReadAll(io.LimitReader(r, maxBackupBytes+1))
	if err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	if len(raw) > maxBackupBytes {
		return i, fmt.Errorf("backup: larger than %d MB", maxBackupBytes>>20)
	}
	if err := decodeWithChecksum(backupMark, raw, &i); err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	if _, err := catalog.Load(i); err != nil {
		return i, fmt.Errorf("backup: %w", err)
	}
	return i, nil
}

// isIntactCommand reports whether an encoded command is undamaged.
func isIntactCommand(raw []byte) bool {
	return len(raw) >= checksumHeaderBytes && string(raw[:4]) == commandMark && binary.BigEndian.Uint64(raw[4:]) == xxhash.Sum64(raw[checksumHeaderBytes:])
}
