package directory

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	lockWait  = 2 * time.Second // for a process that is about to let go of the folder
	retryDisk = 100 * time.Millisecond
)

// openLog opens the log, after it has been looked through: what follows would not notice damage until it is too late.
// A damaged one is an errDamaged.
func openLog(path string) (*raftboltdb.BoltStore, error) {
	if _, err := os.Stat(path); err == nil {
		if err := checkFile(path); err != nil {
			return nil, err
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("log: %w", err)
	}
	s, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockWait}})
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	if err := checkLog(s); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// guarded turns a panic, and a fault on memory that the file no longer backs, into an error.
func guarded(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return do()
}

// checkFile tells whether the file is a whole one.
func checkFile(path string) error {
	return guarded(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockWait})
		if errors.Is(err, bbolt.ErrTimeout) {
			return fmt.Errorf("log: another process uses the folder")
		}
		if err != nil {
			return fmt.Errorf("log: %w: %w", errDamaged, err)
		}
		defer db.Close()
		return db.View(func(tx *bbolt.Tx) error {
			info, err := os.Stat(path)
			if err != nil {
				return fmt.Errorf("log: %w", err)
			}
			if info.Size() < tx.Size() {
				return fmt.Errorf("log: %w: %d bytes of %d are there", errDamaged, info.Size(), tx.Size())
			}
			return nil
		})
	})
}

// checkLog reads every entry: each one is there, in its place, and as it was written.
func checkLog(s *raftboltdb.BoltStore) error {
	return guarded(func() error {
		first, err := s.FirstIndex()
		if err != nil {
			return fmt.Errorf("log: %w: %w", errDamaged, err)
		}
		last, err := s.LastIndex()
		if err != nil {
			return fmt.Errorf("log: %w: %w", errDamaged, err)
		}
		for i := first; i <= last && i > 0; i++ {
			var e raft.Log
			if err := s.GetLog(i, &e); err != nil {
				return fmt.Errorf("log: %w: entry %d: %w", errDamaged, i, err)
			}
			if e.Index != i {
				return fmt.Errorf("log: %w: entry %d stands at %d", errDamaged, e.Index, i)
			}
			if e.Type == raft.LogCommand && !sealed(e.Data) {
				return fmt.Errorf("log: %w: entry %d is not as it was written", errDamaged, i)
			}
		}
		return nil
	})
}

// patientStore holds Raft's term and vote. A full disk must not end the replica, whose reads go on: a write waits
// until it is done. Until then this replica neither votes nor leads.
type patientStore struct {
	raft.StableStore
	log  *slog.Logger
	stop <-chan struct{}

	stuck *atomic.Bool // while a write waits
}

func (p patientStore) insist(write func() error) error {
	defer p.stuck.Store(false)
	for told := false; ; told = true {
		err := write()
		if err == nil {
			if told {
				p.log.Warn("the folder can be written again")
			}
			return nil
		}
		p.stuck.Store(true)
		if !told {
			p.log.Error("the folder can't be written; this replica takes no part in votes", "err", err)
		}
		select {
		case <-p.stop:
			select {} // an error would be a panic in Raft; the process is about to end
		case <-time.After(retryDisk):
		}
	}
}

// Set waits until it is written.
func (p patientStore) Set(k, v []byte) error {
	return p.insist(func() error { return p.StableStore.Set(k, v) })
}

// SetUint64 waits until it is written.
func (p patientStore) SetUint64(k []byte, v uint64) error {
	return p.insist(func() error { return p.StableStore.SetUint64(k, v) })
}
