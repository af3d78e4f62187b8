package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["restore"] = playRestore }

const (
	leaseTime    = 20 * time.Second // of the record's lease, for each holder
	renewalPause = 2 * time.Second  // between two renewals of the holder
	leaseRecord  = "/records/payout-run"
	relianceTail = 6 * time.Second // how long the holders are watched after the operator's command
)

// leaseHolder is a process that takes a record's lease before it does the work that only one may do. It relies on the lease
// until its time after it sent the last request that was acknowledged, as the lease's promise says.
type leaseHolder struct {
	name   string
	record *standin.Record
	addr   string
	token  int64
	until  time.Time // until when it may rely on the lease
}

func (h *leaseHolder) acquire() bool {
	sent := time.Now()
	status, raw, err := standin.Request(http.MethodPut, h.addr, leaseRecord, "", map[string]any{"holder": h.name, "ttl_ms": leaseTime.Milliseconds()})
	h.record.Add("%s: takes the record: %d %s %v", h.name, status, raw, err)
	var granted struct {
		Token int64 `json:"token"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(raw, &granted) != nil {
		return false
	}
	h.token, h.until = granted.Token, sent.Add(leaseTime)
	return true
}

// renew reports false if the directory said that the lease is lost.
func (h *leaseHolder) renew() bool {
	sent := time.Now()
	status, raw, err := standin.Request(http.MethodPost, h.addr, "/registry/renewals", "",
		map[string]any{"ids": []string{}, "records": []map[string]any{{"name": "payout-run", "token": h.token}}})
	h.record.Add("%s: renews token %d: %d %s %v", h.name, h.token, status, raw, err)
	var answer struct {
		Unknown []string `json:"unknown"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
		return true
	}
	if len(answer.Unknown) > 0 {
		return false
	}
	h.until = sent.Add(leaseTime)
	return true
}

func (h *leaseHolder) release() error {
	status, raw, err := standin.Request(http.MethodDelete, h.addr, leaseRecord, "", map[string]any{"token": h.token})
	h.record.Add("%s: lets go of token %d: %d %s %v", h.name, h.token, status, raw, err)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("release: %d %s %w", status, raw, err)
	}
	return nil
}

// playRestore takes a backup while nobody holds a record, lets one process take its lease, and restores the backup to undo a
// wrong list. Another process asks for the record all the time.
func playRestore(s scene) (int, error) {
	d, err := standin.NewDirectory(s.record, s.dir, betweenZones)
	if err != nil {
		return cantRun, err
	}
	defer d.Close()
	leader := d.WaitLeader(directoryStart)
	if leader == nil {
		return cantRun, errors.New("the directory does not form")
	}
	list := func(name string, count int) (string, error) {
		var members []standin.Member
		for i := range count {
			members = append(members, standin.Member{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i), Locality: "hall-a", Flavor: "client-hook", Cell: i, Phase: "SERVING", Size: 5})
		}
		raw, err := json.Marshal(map[string]any{"members": members})
		path := filepath.Join(s.dir, name)
		return path, errors.Join(err, os.WriteFile(path, raw, 0o600))
	}
	right, err := list("right.json", 6)
	wrong, err2 := list("wrong.json", 4)
	if err := errors.Join(err, err2); err != nil {
		return cantRun, err
	}
	if _, err := d.Operator("apply", right); err != nil {
		return cantRun, err
	}
	first := &leaseHolder{name: "first", record: s.record, addr: d.Replicas[0].HTTP}
	if !first.acquire() {
		return cantRun, errors.New("the record can't be taken")
	}
	if err := first.release(); err != nil {
		return cantRun, err
	}
	backup := filepath.Join(s.dir, "list.bak")
	if _, err := d.Operator("backup", backup); err != nil {
		return cantRun, err
	}
	holder := &leaseHolder{name: "holder", record: s.record, addr: d.Replicas[1].HTTP}
	rival := &leaseHolder{name: "rival", record: s.record, addr: d.Replicas[2].HTTP}
	if !holder.acquire() {
		return cantRun, errors.New("the record can't be taken after it was let go")
	}
	if rival.acquire() {
		s.record.Say("the rule is broken: the rival got the record with token %d while the holder had it", rival.token)
		return broken, nil
	}
	if _, err := d.Operator("apply", wrong); err != nil { // a mistake of the operator
		return cantRun, err
	}
	if !holder.renew() {
		s.record.Say("the rule is broken: the holder's renewal was refused within its time")
		return broken, nil
	}
	if s.trouble {
		_, err = d.Operator("restore", backup)
	} else {
		_, err = d.Operator("apply", right)
	}
	if err != nil {
		return cantRun, err
	}
	code, holds, nextRenewal := held, true, time.Now().Add(renewalPause)
	for end := time.Now().Add(relianceTail); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if rival.token == 0 && rival.acquire() && holds && time.Now().Before(holder.until) {
			s.record.Say("the rule is broken: the rival has the record with token %d, and the holder may rely on token %d for %v more",
				rival.token, holder.token, time.Until(holder.until).Round(time.Millisecond))
			code = broken
		}
		if holds && !time.Now().Before(nextRenewal) {
			nextRenewal = time.Now().Add(renewalPause)
			left := time.Until(holder.until)
			if holds = holder.renew(); !holds {
				s.record.Say("the rule is broken: the lease of token %d was taken away %v before its time had passed since the last acknowledged renewal",
					holder.token, left.Round(time.Millisecond))
				code = broken
			}
		}
	}
	return code, nil
}
