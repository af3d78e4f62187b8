package lab

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/internal/golden"
	"starlingusher/internal/lab/block"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/standin"
)

// checkJSON compares the JSON of a filled value with a golden file, and the value decoded from that file with the value.
func checkJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(golden.Check(t, name, append(raw, '\n')), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("decoded %+v differs from %+v: %v", got, value, err)
	}
}

func TestResultFormats(t *testing.T) {
	var res Result
	golden.Fill(&res)
	res.Events = nil // they have a file of their own
	checkJSON(t, ResultFile, res)
	var differences []Difference
	golden.Fill(&differences)
	checkJSON(t, "differences.json", differences)
	golden.Check(t, "names.txt", []byte(ResultFile+" "+EventsFile+" "+ReportFile+" "+string(observe.Clients)+" "+string(observe.Partners)+" "+
		string(observe.Links)+" "+string(observe.Timeline)+"\n"))
}

// The configuration file that a node is started with.
func TestNodeConfigFormat(t *testing.T) {
	p := drawPlan(t, baseExperiment)
	r := &run{plan: &p, opts: Options{Dir: t.TempDir()}, block: &block.Block{}}
	r.platform = standin.NewPlatform(len(p.Nodes), 0, 0, 1, observe.NewLog(), func(int, string, string, time.Duration) {})
	defer r.platform.Close()
	r.platform.PutMember(standin.Member{ID: "s-0-0", Locality: "z0", Flavor: "hook", Phase: history.Serving, Size: 2}, func(int) string { return "127.0.0.1:10000" }, true)
	n, err := newNode(r, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer n.waitAndCloseLog()
	if err := n.writeConfig(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(n.dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "config.json", raw)
}
