//go:build review2

package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

func init() { scenarios["lease-after-restore"] = leaseAfterRestore }

// leaseAfterRestore: a backup is made while holder-a has a record; then it lets go, and holder-b takes the record. The
// machine of the directory is lost, and the operator restores the backup as the page says. Nobody else may get the record
// before the time of holder-b's lease has passed.
func leaseAfterRestore(w *world) (broken []string) {
	const leaseOfB = 30 * time.Second
	d := newDirectory(w, "d1", freeAddress(), "")
	d.start()
	if d.acquire("other", "holder-x", time.Minute) == 0 { // the longest lease that the backup knows
		fail("record other is refused")
	}
	first := d.acquire("job", "holder-a", time.Second)
	if first == 0 {
		fail("record job is refused")
	}
	w.command([]string{d.addr}, "backup", filepath.Join(w.dir, "list.bak"))
	code, answer := d.request(http.MethodDelete, "/records/job", object{"token": first}, nil)
	w.rec.printf("holder-a: lets go of record job: %d %s", code, answer)
	sent := time.Now()
	if d.acquire("job", "holder-b", leaseOfB) == 0 {
		fail("holder-b does not get record job")
	}
	if w.trouble {
		d.loseMachine()
		d.start()
		w.command([]string{d.addr}, "restore", filepath.Join(w.dir, "list.bak"))
	}
	for time.Since(sent) < leaseOfB-2*time.Second {
		if d.acquire("job", "holder-c", 10*time.Second) != 0 {
			return append(broken, fmt.Sprintf("holder-c has the record %.1f s after holder-b asked for it for %v: two holders", time.Since(sent).Seconds(), leaseOfB))
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}
