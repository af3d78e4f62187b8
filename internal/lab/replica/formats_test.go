package replica

import (
	"os"
	"strings"
	"testing"

	"starlingusher/internal/golden"
	"starlingusher/internal/lab/block"
)

// The settings file that each replica is started with.
func TestSettingsFormat(t *testing.T) {
	dir := t.TempDir()
	replicas, err := New(3, Options{Dir: dir, Block: &block.Block{}, Settings: "keep = 7\n"})
	if err != nil {
		t.Fatal(err)
	}
	all := ""
	for _, r := range replicas {
		defer r.Close()
		raw, err := os.ReadFile(r.configFile())
		if err != nil {
			t.Fatal(err)
		}
		all += strings.TrimPrefix(r.configFile(), dir) + "\n" + strings.ReplaceAll(string(raw), dir, "DIR") + "\n"
	}
	golden.Check(t, "directory.toml", []byte(all))
}
