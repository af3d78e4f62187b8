package registry

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/golden"
)

// The file list.json is read by other builds of a node.
func TestListCacheFormat(t *testing.T) {
	var want, got cacheFile
	golden.Fill(&want)
	for i := range want.Members { // a list that is accepted has valid endpoints
		want.Members[i].Addr, want.Members[i].Phase = "h:"+want.Members[i].Addr, catalog.Serving
		want.Members[i].ID = fmt.Sprint(i, want.Members[i].ID) // they are sorted by it
	}
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	raw = golden.Check(t, "list.json", raw)
	if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(want, got) {
		t.Errorf("decoded %+v, want %+v: %v", got, want, err)
	}
	path := filepath.Join(t.TempDir(), "list.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	k, err := OpenListCache(filepath.Dir(path), 4096)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	list, at, heard, ok := k.List()
	k.Apply(Update{List: list, History: at.History, Server: at.Server}, heard)
	if err := k.Flush(); err != nil || !ok {
		t.Fatalf("there is a list: %v; %v", ok, err)
	}
	if written, err := os.ReadFile(path); err != nil || string(written) != string(raw) {
		t.Errorf("the file holds %s, want %s: %v", written, raw, err)
	}
}
