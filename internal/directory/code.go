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

// Commands in the log, backups and snapshots begin with a mark that tells their type and a checksum of the rest,
// so that damage is detected.
const (
	commandMark         = "cmd1"
	backupMark          = "bak1"
	checksumHeaderBytes = 4 + 8    // the mark and the checksum
	maxBackupBytes      = 1 << 30  // bytes of an encoded backup; catalog.MaxEndpoints endpoints of about 170 bytes take a third of it
	maxCommandBytes     = 64 << 20 // bytes of an encoded command
)

var (
	// errDamaged means that data is not what was written.
	errDamaged = errors.New("damaged")
	// errUndecodable means that data is as it was written and still can't be decoded.
	errUndecodable = errors.New("can't be decoded")
)

// decodeMode bounds the size and depth of the data that is decoded, and rejects duplicate keys.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 16, MaxArrayElements: 2 * catalog.MaxEndpoints, MaxMapPairs: 2 * catalog.MaxEndpoints, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encodeWithChecksum encodes a value as CBOR, after the mark and the checksum.
func encodeWithChecksum(mark string, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return withChecksum(mark, body), nil
}

// withChecksum puts the mark and the checksum before encoded data.
func withChecksum(mark string, body []byte) []byte {
	out := make([]byte, 0, checksumHeaderBytes+len(body))
	out = append(out, mark...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

// decodeWithChecksum decodes what encodeWithChecksum has encoded with the same mark. All errors are errDamaged or
// errUndecodable.
func decodeWithChecksum(mark string, raw []byte, v any) error {
	if len(raw) < checksumHeaderBytes || string(raw[:4]) != mark {
		return fmt.Errorf("%w: the data does not begin with the mark of its type", errDamaged)
	}
	body := raw[checksumHeaderBytes:]
	if binary.BigEndian.Uint64(raw[4:]) != xxhash.Sum64(body) {
		return fmt.Errorf("%w: checksum mismatch", errDamaged)
	}
	if err := decodeMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errUndecodable, err)
	}
	return nil
}

// encodeCommand encodes a command for the log. A command that the replicas could not decode is invalid.
func encodeCommand(c catalog.Command) ([]byte, error) {
	raw, err := encodeWithChecksum(commandMark, c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if len(raw) > maxCommandBytes {
		return nil, fmt.Errorf("%w: the command has %d bytes, the limit is %d", ErrRefused, len(raw), maxCommandBytes)
	}
	if err := decodeWithChecksum(commandMark, raw, new(catalog.Command)); err != nil {
		return nil, fmt.Errorf("%w: %w", catalog.ErrInvalid, err)
	}
	return raw, nil
}

// EncodeBackup encodes an image for a backup or a snapshot.
func EncodeBackup(image catalog.Image) ([]byte, error) { return encodeWithChecksum(backupMark, image) }

// DecodeBackup decodes a backup. It rejects damaged data and images that no state can have produced.
func DecodeBackup(r io.Reader) (catalog.Image, error) {
	var image catalog.Image
	raw, err := io.ReadAll(io.LimitReader(r, maxBackupBytes+1))
	if err != nil {
		return image, fmt.Errorf("backup: %w", err)
	}
	if len(raw) > maxBackupBytes {
		return image, fmt.Errorf("backup: larger than %d MB", maxBackupBytes>>20)
	}
	if err := decodeWithChecksum(backupMark, raw, &image); err != nil {
		return image, fmt.Errorf("backup: %w", err)
	}
	if _, err := catalog.Load(image); err != nil {
		return image, fmt.Errorf("backup: %w", err)
	}
	return image, nil
}

// isIntactCommand reports whether the mark and the checksum of an encoded command are correct.
func isIntactCommand(raw []byte) bool {
	return len(raw) >= checksumHeaderBytes && string(raw[:4]) == commandMark && binary.BigEndian.Uint64(raw[4:]) == xxhash.Sum64(raw[checksumHeaderBytes:])
}
