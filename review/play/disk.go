package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["disk"] = diskLimit }

const (
	diskBlock = 512 // bytes; each file counts in whole ones
	clumpSize = 10
)

// diskWatch looks at the size of a folder all the time.
type diskWatch struct {
	stop chan struct{}
	done sync.WaitGroup
	most int64
	note string // the files at that time
}

func watchDisk(dir string) *diskWatch {
	w := &diskWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			default:
			}
			if total, note := folderSize(dir); total > w.most {
				w.most, w.note = total, note
			}
		}
	})
	return w
}

func (w *diskWatch) end() (most int64, note string) {
	close(w.stop)
	w.done.Wait()
	return w.most, w.note
}

// folderSize returns the size of all files of a folder. They are looked at in the order of their names, so a file that
// takes the place of another one, whose name is shorter, is not counted twice.
func folderSize(dir string) (total int64, note string) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, ""
	}
	for _, e := range entries {
		var st syscall.Stat_t
		if syscall.Stat(filepath.Join(dir, e.Name()), &st) == nil {
			total += (st.Size + diskBlock - 1) / diskBlock * diskBlock
			note += fmt.Sprintf(" %s %d", e.Name(), st.Size)
		}
	}
	return total, note
}

// diskLimit hands in large messages for two partners. The disruption: one of them hangs, so that its messages are held. The
// state folder must stay within the limit of the configuration.
func diskLimit(s scene) (int, error) {
	partner := &hangingPartner{}
	hanging, err := standin.NewEndpoint(s.record, "s-hanging", partner.serve)
	if err != nil {
		return 0, err
	}
	defer hanging.Close()
	defer partner.comeBack()
	sound, err := standin.NewEndpoint(s.record, "s-sound", standin.Delivers(usualPace))
	if err != nil {
		return 0, err
	}
	defer sound.Close()
	platform, err := standin.NewPlatform(s.record, []standin.Member{hanging.Member("client-hook", 1, 40), sound.Member("client-hook", 2, 40)})
	if err != nil {
		return 0, err
	}
	defer platform.Close()
	node, err := standin.NewNode(s.record, s.dir, platform.List())
	if err != nil {
		return 0, err
	}
	if err := node.WriteConfig(platform.Addr()); err != nil {
		return 0, err
	}
	process, err := node.Start("node", platform.Addr())
	if err != nil {
		return 0, err
	}
	defer process.Kill()
	if !process.WaitReady(10 * time.Second) {
		return 0, errors.New("the node is not ready")
	}
	limit := int64(node.DiskMB * (1 << 20))
	watch := watchDisk(node.StateDir())
	client := standin.NewClient(s.record, node.Addr)
	var mu sync.Mutex
	accepted, refused := 0, 0
	submit := func(dest int) {
		m := &standin.Message{ID: standin.NewID(), Class: "quota-order", Dest: dest, Life: 24 * time.Second, Body: make([]byte, 48<<10+rand.IntN(16<<10+1))}
		client.Submit(m)
		mu.Lock()
		defer mu.Unlock()
		if m.Accepted() {
			accepted++
		} else {
			refused++
		}
	}
	for range 5 {
		submit(1)
		submit(2)
		time.Sleep(200 * time.Millisecond)
	}
	if s.trouble {
		s.record.Say("one partner hangs")
		partner.hang()
	}
	began := time.Now()
	for range 10 {
		submit(1)
		time.Sleep(100 * time.Millisecond)
	}
	for time.Since(began) < 20*time.Second {
		var clump sync.WaitGroup
		for range clumpSize {
			clump.Go(func() { submit(2) })
		}
		clump.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	partner.comeBack()
	time.Sleep(time.Second)
	most, note := watch.end()
	if !process.Running() {
		return 0, errors.New("the node has ended by itself")
	}
	s.record.Say("messages taken on %d, refused %d; the state folder held %d bytes at most, the limit is %d:%s", accepted, refused, most, limit, note)
	if most > limit {
		s.record.Say("OVER THE LIMIT by %d bytes", most-limit)
		return broken, nil
	}
	return held, nil
}
