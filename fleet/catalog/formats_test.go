package catalog

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"starlingusher/internal/golden"
)

// checkFormat encodes a filled value, compares it with its golden file, and decodes that file into the same value.
// drop clears what the format leaves out.
func checkFormat[T any](t *testing.T, name string, encode func(any) ([]byte, error), decode func([]byte, any) error, drop func(*T)) {
	t.Helper()
	var want, got T
	golden.Fill(&want)
	if drop != nil {
		drop(&want)
	}
	raw, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if err := decode(golden.Check(t, name, raw), &got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("%s: decoded\n%+v, want\n%+v", name, got, want)
	}
}

// Log entries, snapshots and backups are CBOR; a replica of another build reads them.
func TestCBORFormats(t *testing.T) {
	checkFormat[Command](t, "command.cbor", cbor.Marshal, cbor.Unmarshal, nil)
	checkFormat[Image](t, "image.cbor", cbor.Marshal, cbor.Unmarshal, nil)
	checkFormat[Change](t, "change.cbor", cbor.Marshal, cbor.Unmarshal, nil)
	checkFormat[HeldWrite](t, "held.cbor", cbor.Marshal, cbor.Unmarshal, nil)
	checkFormat[Record](t, "record.cbor", cbor.Marshal, cbor.Unmarshal, nil)
}

func TestJSONFormats(t *testing.T) {
	encode := func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	checkFormat[List](t, "list.json", encode, json.Unmarshal, nil)
	checkFormat[Entry](t, "entry.json", encode, json.Unmarshal, nil)
	checkFormat[Change](t, "change.json", encode, json.Unmarshal, func(c *Change) { c.Moved = nil })
	checkFormat[HeldWrite](t, "held.json", encode, json.Unmarshal, func(h *HeldWrite) { h.Write = Write{} })
	checkFormat[Record](t, "record.json", encode, json.Unmarshal, nil)
	checkFormat[Replica](t, "replica.json", encode, json.Unmarshal, nil)
}
