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
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	lockTimeout       = 2 * time.Second // for another process to release the folder
	diskRetryInterval = 100 * time.Millisecond
)

// openLog verifies the log and opens it. Raft would notice damage only when it is too late. The error for a
// damaged log wraps errDamaged.
func openLog(path string) (*raftboltdb.BoltStore, error) {
	if _, err := os.Stat(path); err == nil {
		if err := verifyFile(path); err != nil {
			return nil, err
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("log: %w", err)
	}
	s, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	if err := verifyLog(s); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// recoverDamage converts a panic, or a memory fault on a mapped file that was cut, into an error.
func recoverDamage(fn func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return fn()
}

// verifyFile checks that the database file is complete.
func verifyFile(path string) error {
	return recoverDamage(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
		if errors.Is(err, bbolterrors.ErrTimeout) {
			return fmt.Errorf("log: the folder is in use by another process")
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
				return fmt.Errorf("log: %w: the file has %d of %d bytes", errDamaged, info.Size(), tx.Size())
			}
			return nil
		})
	})
}

// verifyLog reads every entry and checks its index and its checksum.
func verifyLog(s *raftboltdb.BoltStore) error {
	return recoverDamage(func() error {
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
				return fmt.Errorf("log: %w: found entry %d at index %d", errDamaged, e.Index, i)
			}
			if e.Type == raft.LogCommand && !isIntactCommand(e.Data) {
				return fmt.Errorf("log: %w: checksum mismatch in entry %d", errDamaged, i)
			}
		}
		return nil
	})
}

// retryingStore stores Raft's term and vote, and retries each write until it succeeds. A full disk must not
// end the replica, which continues to serve reads; meanwhile it neither votes nor leads.
type retryingStore struct {
	raft.StableStore
	log  *slog.Logger
	stop <-chan struct{}

	unwritable *atomic.Bool // set while a write is being retried
}

func (p retryingStore) retry(write func() error) error {
	defer p.unwritable.Store(false)
	for reported := false; ; reported = true {
		err := write()
		if err == nil {
			if reported {
				p.log.Warn("the folder is writable again")
			}
			return nil
		}
		p.unwritable.Store(true)
		if !reported {
			p.log.Error("writing to the folder failed; this replica does not vote until it succeeds", "err", err)
		}
		select {
		case <-p.stop:
			select {} // Raft would panic on an error; the process is about to end
		case <-time.After(diskRetryInterval):
		}
	}
}

// Set writes a value and retries until it succeeds.
func (p retryingStore) Set(k, v []byte) error {
	return p.retry(func() error { return p.StableStore.Set(k, v) })
}

// SetUint64 writes a value and retries until it succeeds.
func (p retryingStore) SetUint64(k []byte, v uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(k, v) })
}
