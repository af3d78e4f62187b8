package directory

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
)

// fillLog writes the log of a single replica after a number of writes, without a snapshot.
func fillLog(b *testing.B, path string, writes int) {
	s, err := openLog(path)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	config := raft.Configuration{Servers: []raft.Server{{ID: "directory", Address: "alone"}}}
	batch := []*raft.Log{{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(config)}}
	add := func(c catalog.Command) {
		raw, err := encodeWithChecksum(commandMark, c)
		if err != nil {
			b.Fatal(err)
		}
		batch = append(batch, &raft.Log{Index: batch[len(batch)-1].Index + 1, Term: 1, Type: raft.LogCommand, Data: raw})
		if len(batch) == 10_000 {
			if err := s.StoreLogs(batch); err != nil {
				b.Fatal(err)
			}
			batch = batch[len(batch)-1:]
		}
	}
	add(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	for i := range writes {
		e := endpoint(fmt.Sprint("s-", i%300), catalog.Serving)
		e.UpSince = int64(i)
		add(catalog.Command{At: 1, Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: []catalog.Endpoint{e}}})
	}
	if err := s.StoreLogs(batch); err != nil {
		b.Fatal(err)
	}
	if err := s.SetUint64([]byte("CurrentTerm"), 1); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkStartOfAMillion starts from a log of a million changes, and then from the snapshot made from it.
func BenchmarkStartOfAMillion(b *testing.B) {
	const writes = 1_000_000
	dir := b.TempDir()
	fillLog(b, filepath.Join(dir, "log.db"), writes)
	info, err := os.Stat(filepath.Join(dir, "log.db"))
	if err != nil {
		b.Fatal(err)
	}
	start := func() (*Replica, time.Duration) {
		c := Defaults()
		c.Data, c.HTTP, c.Snapshot.Interval.Duration = dir, "127.0.0.1:0", 100*time.Millisecond
		began := time.Now()
		r, err := Open(c, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		for {
			if at, _ := r.fsm.position(); at.revision == writes && r.isReadyLeader() {
				return r, time.Since(began)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for range b.N {
		r, took := start()
		b.ReportMetric(took.Seconds(), "s/log")
		b.ReportMetric(float64(info.Size())/(1<<20), "MB/log")
		for { // wait for a snapshot of almost everything, and for the log to be truncated
			if first, err := r.store.FirstIndex(); err == nil && first > writes*9/10 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		r.Close()
		r, took = start()
		b.ReportMetric(took.Seconds(), "s/snapshot")
		r.Close()
	}
}
