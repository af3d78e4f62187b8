// Command drill runs instances of the decision module for the simulator: batches of events come on standard
// input, and each batch gets one reply on standard output. Instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// host keeps the instances of this process, and the lists of endpoints by number.
type host struct {
	instances map[string]*choice.Sender
	lists     map[int][]choice.Entry
	out       *bufio.Writer
}

func newHost(out io.Writer) *host {
	return &host{
		instances: map[string]*choice.Sender{}, lists: map[int][]choice.Entry{}, out: bufio.NewWriter(out),
	}
}

// batch collects the events of one batch by instance, with the instances in order of appearance.
type batch struct {
	now    time.Duration
	order  []string
	events map[string][]choice.Event
}

func run(in io.Reader, out io.Writer) error {
	h := newHost(out)
	r := bufio.NewReaderSize(in, 1<<20)
	var b *batch
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if len(text) > 0 && text[0] != '\n' {
			var fail error
			if b, fail = h.handleLine(b, text); fail != nil {
				return fmt.Errorf("line %d: %w", n, fail)
			}
		}
		if errors.Is(err, io.EOF) {
			if b != nil {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleLine handles one line of input and returns the batch that is open after it.
func (h *host) handleLine(b *batch, text []byte) (*batch, error) {
	l, err := wire.ParseLine(text)
	if err != nil {
		return b, err
	}
	if l.Type == "Turn" {
		if b != nil {
			return b, errors.New("event Turn inside a batch")
		}
		return &batch{now: wire.Duration(l.SimTime), events: map[string][]choice.Event{}}, nil
	}
	if b == nil {
		return b, fmt.Errorf("event %s outside a batch", l.Type)
	}
	switch l.Type {
	case "YourTurn":
		for _, node := range b.order {
			if h.instances[node] != nil {
				if err := h.step(b.now, node, b.events[node]); err != nil {
					return b, err
				}
			}
		}
		if _, err := fmt.Fprintln(h.out, wire.DoneLine); err != nil {
			return b, err
		}
		return nil, h.out.Flush()
	case "Manifest":
		entries, err := wire.Entries(l.Records)
		if err != nil {
			return b, fmt.Errorf("event Manifest %d: %w", l.List, err)
		}
		h.lists[l.List] = entries
		return b, nil
	case "Born":
		settings, err := wire.ParseSettings(l.Settings)
		if err != nil {
			return b, fmt.Errorf("event Born %s: %w", l.Node, err)
		}
		seed, err := strconv.ParseUint(l.Seed.String(), 10, 64)
		if err != nil {
			signed, serr := strconv.ParseInt(l.Seed.String(), 10, 64)
			if serr != nil {
				return b, fmt.Errorf("event Born %s: nonce64: %w", l.Node, err)
			}
			seed = uint64(signed)
		}
		h.instances[l.Node] = choice.New(settings, seed)
		b.reset(l.Node)
		return b, nil
	case "Down":
		if h.instances[l.Node] == nil {
			return b, fmt.Errorf("event Down for unknown instance %q", l.Node)
		}
		delete(h.instances, l.Node)
		b.reset(l.Node)
		return b, nil
	}
	if h.instances[l.Node] == nil {
		return b, fmt.Errorf("event %s for unknown instance %q", l.Type, l.Node)
	}
	ev, err := wire.ParseEvent(l, h.lists)
	if err != nil {
		return b, fmt.Errorf("event %s for %q: %w", l.Type, l.Node, err)
	}
	if ev != nil {
		b.add(l.Node, ev)
	}
	return b, nil
}

func (b *batch) add(node string, ev choice.Event) {
	if _, ok := b.events[node]; !ok {
		b.order = append(b.order, node)
	}
	b.events[node] = append(b.events[node], ev)
}

// reset discards the events that an earlier run of the instance got in this batch; the instance still gets
// its step.
func (b *batch) reset(node string) {
	if _, ok := b.events[node]; !ok {
		b.order = append(b.order, node)
	}
	b.events[node] = nil
}

// step runs one instance and writes its actions; a panic becomes a Broken line.
func (h *host) step(now time.Duration, node string, events []choice.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			_, err = fmt.Fprintf(h.out, "%s\n", wire.BrokenLine(node, fmt.Sprint(p)))
		}
	}()
	for _, a := range h.instances[node].Step(now, events) {
		b, err := wire.EncodeAction(node, a)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(h.out, "%s\n", b); err != nil {
			return err
		}
	}
	return nil
}
