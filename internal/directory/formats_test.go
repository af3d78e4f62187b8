package directory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/golden"
)

// checkJSON encodes a filled value, compares it with its golden file, and decodes that file into the same value.
// drop clears what the format leaves out.
func checkJSON[T any](t *testing.T, name string, drop func(*T)) {
	t.Helper()
	var want, got T
	golden.Fill(&want)
	if drop != nil {
		drop(&want)
	}
	raw, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, name, raw), &got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("%s: decoded\n%+v, want\n%+v", name, got, want)
	}
}

func TestJSONFormats(t *testing.T) {
	checkJSON[Status](t, "status.json", func(s *Status) { s.Held.Write = catalog.Write{} })
	checkJSON[ChangeHistory](t, "changes.json", func(c *ChangeHistory) {
		for i := range c.Changes {
			c.Changes[i].Moved = nil
		}
	})
	checkJSON[WriteResult](t, "written.json", nil)
	checkJSON[errorBody](t, "problem.json", nil)
	checkJSON[recordRequest](t, "record_request.json", nil)
	checkJSON[joinRequest](t, "join_request.json", nil)
	checkJSON[joinReply](t, "join_reply.json", nil)
}

// The entries of the log and the files of snapshots and backups: a mark, a checksum and CBOR.
func TestSealedFormats(t *testing.T) {
	var command, commandBack catalog.Command
	golden.Fill(&command)
	raw, err := encodeWithChecksum(commandMark, command)
	if err != nil {
		t.Fatal(err)
	}
	if err := decodeWithChecksum(commandMark, golden.Check(t, "command.bin", raw), &commandBack); err != nil || !reflect.DeepEqual(command, commandBack) {
		t.Errorf("decoded %+v, want %+v: %v", commandBack, command, err)
	}
	var image, imageBack catalog.Image
	golden.Fill(&image)
	if raw, err = EncodeBackup(image); err != nil {
		t.Fatal(err)
	}
	if err := decodeWithChecksum(backupMark, golden.Check(t, "backup.bin", raw), &imageBack); err != nil || !reflect.DeepEqual(image, imageBack) {
		t.Errorf("decoded %+v, want %+v: %v", imageBack, image, err)
	}
}

// The golden files hold a replica's settings with each key set, and the values in the order of Config's fields.
func TestConfigFormat(t *testing.T) {
	c, err := LoadConfig(filepath.Join("testdata", "formats", "config.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "config.txt", fmt.Appendf(nil, "%v\n", c))
}

// The golden file holds each request of the HTTP interface with its status, headers and body. Numbers stand as #, for they depend
// on the clock and on ports, and error texts are left out.
func TestHTTPFormat(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.List.MaxEndpoints = 5 })[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	digits, text := regexp.MustCompile(`[0-9]+`), regexp.MustCompile(`"error":"([^"\\]|\\.)*"`)
	const a, b = `{"id":"a","host_port":"h:1","locality":"z","flavor":"k","cell":1,"phase":"SERVING","size":1,"up_since_ms":5}`,
		`{"id":"b","host_port":"h:1","locality":"z","flavor":"k","cell":1,"phase":"SERVING","size":1,"up_since_ms":5}`
	many := strings.Replace(b, `"b"`, `"c"`, 1) + "," + strings.Replace(b, `"b"`, `"d"`, 1) + "," + strings.Replace(b, `"b"`, `"e"`, 1) + "," + strings.Replace(b, `"b"`, `"f"`, 1)
	var out bytes.Buffer
	for _, r := range []struct{ method, path, match, body string }{
		{"GET", "/registry/instances", "", ""},
		{"PUT", "/registry/instances", "*", `{"members":[` + a + `,` + b + `],"revision":0,"complete":true}`},
		{"GET", "/registry/instances", "", ""},
		{"GET", "/registry/instances?after=1&history=1", "", ""},
		{"GET", "/registry/instances?fresh=1", "", ""},
		{"GET", "/registry/instances?partitions=0-4095", "", ""},
		{"GET", "/registry/instances?partitions=x", "", ""},
		{"POST", "/registry/instances", "", `{"members":[]}`},
		{"POST", "/registry/instances", "0", `{"members":[` + strings.Replace(a, "SERVING", "DRAINING", 1) + `]}`},
		{"POST", "/registry/instances", "*", `{"members":[` + many + `]}`},
		{"PUT", "/registry/instances", "*", `{"members":[]}`},
		{"GET", "/directory/status", "", ""},
		{"POST", "/directory/held/9", "", ""},
		{"POST", "/directory/held/1?drop=1", "", ""},
		{"PUT", "/registry/instances?confirm=1", `"1"`, `{"members":[` + a + `]}`},
		{"PUT", "/registry/instances/b", "*", b},
		{"POST", "/registry/instances/b/drain", "*", ""},
		{"POST", "/registry/instances/none/drain", "*", ""},
		{"DELETE", "/registry/instances/b", "*", ""},
		{"PUT", "/registry/registrations/b", "", `{"member":` + b + `,"ttl_ms":60000}`},
		{"POST", "/registry/renewals", "", `{"ids":["b","none"],"records":[{"name":"no-record","token":1}]}`},
		{"PUT", "/records/lead", "", `{"holder":"x","ttl_ms":60000,"value":"MQ=="}`},
		{"PUT", "/records/lead", "", `{"holder":"y"}`},
		{"POST", "/records/lead", "", `{"token":1,"value":"MQ=="}`},
		{"DELETE", "/records/lead", "", `{"token":1}`},
		{"GET", "/records", "", ""},
		{"GET", "/records/lead", "", ""},
		{"GET", "/records/none", "", ""},
		{"GET", "/directory/history?after=2&limit=2", "", ""},
		{"GET", "/directory/history?limit=0", "", ""},
		{"GET", "/directory/status?fresh=1", "", ""},
		{"GET", "/directory/backup?fresh=1", "", ""},
		{"POST", "/directory/restore", "", "no backup"},
		{"POST", "/directory/join", "", `{"id":"x","http":"h:1","raft":"h:2","fresh":true,"applied":1}`},
		{"PUT", "/directory/members/x", "", `{"id":"x","http":"h:1","raft":"h:2"}`},
		{"DELETE", "/directory/members/x", "", ""},
		{"DELETE", "/directory/members/d0", "", ""},
		{"POST", "/reports", "", `{"id":"m","state":"delivered"}`},
		{"POST", "/reports", "", `{"id":"m"}`},
	} {
		req, err := http.NewRequestWithContext(t.Context(), r.method, "http://"+o.cfg.HTTP+r.path, strings.NewReader(r.body))
		if err != nil {
			t.Fatal(err)
		}
		for name, v := range map[string]string{"If-Match": r.match, "Registry-By": "somebody", "Registry-Why": "a test"} {
			if v != "" {
				req.Header.Set(name, v)
			}
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for name := range resp.Header {
			if name != "Date" && name != "Content-Length" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		if resp.Header.Get("Content-Type") == "application/octet-stream" {
			raw = append(raw[:4:4], '\n')
		}
		raw = digits.ReplaceAll(text.ReplaceAll(raw, []byte(`"error":"..."`)), []byte("#"))
		fmt.Fprintf(&out, "%s %s: %d %s\n%s", r.method, r.path, resp.StatusCode, strings.Join(names, " "), raw)
	}
	golden.Check(t, "http.txt", out.Bytes())

	notices, err := os.ReadFile(filepath.Join(o.cfg.Data, "reports.jsonl"))
	if err != nil || string(notices) != `{"id":"m","state":"delivered"}`+"\n" {
		t.Errorf("the file of notices holds %q: %v", notices, err)
	}

	raw, _, err := o.operator().Do(t.Context(), http.MethodGet, "/metrics", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	var metrics bytes.Buffer
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "directory_") && !strings.Contains(line, "_bucket{") {
			name, _, _ := strings.Cut(line, " ")
			fmt.Fprintln(&metrics, name)
		}
	}
	golden.Check(t, "metrics.txt", metrics.Bytes())
}
