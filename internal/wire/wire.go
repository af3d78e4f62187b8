// Package wire converts between the JSON lines of the simulator and package choice: lines to events, actions
// to lines. It makes no decisions and has no defaults: a field that a line leaves out stays zero.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"starlingusher/choice"
)

// Line is any line from the simulator. Type determines which of its fields are used.
type Line struct {
	Type      string             `json:"event_type"`
	SimTime   float64            `json:"simTime"` // milliseconds
	Node      string             `json:"node"`    // ID of the simulated node that the line is for
	Seed      json.Number        `json:"nonce64"`
	Settings  json.RawMessage    `json:"conf"`
	List      int                `json:"slot"` // number of a list, which a Manifest brings and an Announce names
	Records   []Record           `json:"records"`
	ListForm  string             `json:"form"` // of an Announce: whole, patch (changes only), stale_copy, or broken (no list)
	MessageID string             `json:"handle"`
	Class     int                `json:"cls"`
	Tenant    int                `json:"owner"`
	Key       string             `json:"nameKey"`
	Deadline  float64            `json:"dropDead"`  // clock time in milliseconds
	Hint      float64            `json:"predicted"` // milliseconds; used if Options has hintValid
	Dest      int                `json:"farEnd"`
	Options   int                `json:"opts"` // bits
	Attempt   int                `json:"go"`   // number of the attempt of its message, from 0
	Endpoint  string             `json:"endpoint"`
	Outcome   string             `json:"rc"`
	Duration  float64            `json:"duration"` // milliseconds
	Final     bool               `json:"closed"`   // the message has ended
	Detail    float64            `json:"note"`     // no_room: retry-after in milliseconds; stale_send: not 0 if there was no slot
	Report    map[string]float64 `json:"feedback"` // load report: x0 is the share left of the limit, x1 the limit in calls a second
	Tag       string             `json:"tag"`
}

// Record is one entry of a list of endpoints.
type Record struct {
	Endpoint string  `json:"endpoint"`
	Zone     int     `json:"rackZone"`
	Kind     int     `json:"classOfHost"`
	Dest     int     `json:"ownerNo"`
	Phase    string  `json:"phase"`
	Weight   float64 `json:"heft"`
}

const hintValid = 1 // bit of Line.Options: Hint is set

// Duration converts the protocol's milliseconds to a duration, rounded to whole microseconds as the simulator
// counts them.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ParseLine parses a line from the simulator.
func ParseLine(text []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	if l.Type == "" {
		return l, fmt.Errorf("line has no event_type")
	}
	return l, nil
}

var outcomeByWord = map[string]choice.Outcome{
	"pass": choice.Success, "fault": choice.ServerError, "no_room": choice.Rejected, "too_slow": choice.TimedOut,
	"no_route": choice.Unreachable, "cut": choice.ConnectionBroken, "undone": choice.Canceled, "stale_send": choice.Stale,
}

var phaseByWord = map[string]choice.Phase{
	"healthy": choice.Ready, "cordoned": choice.Draining, "deregistered": choice.Gone,
}

// Entries converts the records of a list for package choice.
func Entries(records []Record) ([]choice.Entry, error) {
	list := make([]choice.Entry, 0, len(records))
	for _, r := range records {
		phase, ok := phaseByWord[r.Phase]
		if !ok {
			return nil, fmt.Errorf("endpoint %q has unknown phase %q", r.Endpoint, r.Phase)
		}
		list = append(list, choice.Entry{
			Endpoint: r.Endpoint, Zone: r.Zone, Kind: r.Kind, Dest: r.Dest, Phase: phase, Weight: r.Weight,
		})
	}
	return list, nil
}

// ParseEvent converts a line for one node to an event. It returns nil, nil for lines that package choice
// needs no event for. lists has the entries of the lists that an Announce may name, by their number.
func ParseEvent(l Line, lists map[int][]choice.Entry) (choice.Event, error) {
	switch l.Type {
	case "Announce":
		if l.ListForm == "broken" {
			return choice.ListUpdate{Failed: true}, nil
		}
		if l.ListForm != "patch" && l.ListForm != "whole" && l.ListForm != "stale_copy" {
			return nil, fmt.Errorf("event Announce has unknown form %q", l.ListForm)
		}
		entries, ok := lists[l.List]
		if !ok {
			return nil, fmt.Errorf("event Announce names list %d, which was never sent", l.List)
		}
		return choice.ListUpdate{Complete: l.ListForm != "patch", Entries: entries}, nil
	case "Query":
		ev := choice.MessageArrived{
			ID: l.MessageID, Class: l.Class, Tenant: l.Tenant, Dest: l.Dest, Key: l.Key, Deadline: Duration(l.Deadline),
		}
		if l.Options&hintValid != 0 {
			ev.Hint = Duration(l.Hint)
		}
		return ev, nil
	case "AttemptEnd":
		o, ok := outcomeByWord[l.Outcome]
		if !ok {
			return nil, fmt.Errorf("event AttemptEnd has unknown rc %q", l.Outcome)
		}
		ev := choice.AttemptEnded{
			ID: l.MessageID, Attempt: l.Attempt, Endpoint: l.Endpoint, Outcome: o, Took: Duration(l.Duration),
			Final: l.Final, Report: parseReport(l.Report),
		}
		if o == choice.Rejected {
			ev.RetryAfter = Duration(l.Detail)
		}
		ev.NoSlot = o == choice.Stale && l.Detail != 0
		return ev, nil
	case "Echo":
		o, ok := outcomeByWord[l.Outcome]
		if !ok {
			return nil, fmt.Errorf("event Echo has unknown rc %q", l.Outcome)
		}
		return choice.ProbeEnded{
			Endpoint: l.Endpoint, Outcome: o, Took: Duration(l.Duration), Report: parseReport(l.Report),
		}, nil
	case "Dropped":
		return choice.MessageAbandoned{ID: l.MessageID}, nil
	case "Ring":
		return choice.WakeDue{Tag: l.Tag}, nil
	case "Memo", "UnderWay":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown event %q", l.Type)
}

func parseReport(f map[string]float64) choice.Report {
	var r choice.Report
	r.Left, r.HasLeft = f["x0"]
	r.Limit, r.HasLimit = f["x1"]
	return r
}

// EncodeAction converts an action of a simulated node to its line.
func EncodeAction(node string, a choice.Action) ([]byte, error) {
	line := map[string]any{"node": node}
	switch a := a.(type) {
	case choice.Send:
		line["event_type"], line["handle"], line["endpoint"] = "Transmit", a.ID, a.Endpoint
		line["notPast"] = milliseconds(a.TimeoutAt)
	case choice.Refuse:
		line["event_type"], line["handle"], line["holdOff"] = "PushBack", a.ID, milliseconds(a.RetryAfter)
	case choice.Fail:
		line["event_type"], line["handle"] = "RespondError", a.ID
	case choice.Cancel:
		line["event_type"], line["handle"], line["go"] = "Recall", a.ID, a.Attempt
	case choice.Probe:
		line["event_type"], line["endpoint"] = "Test", a.Endpoint
	case choice.CloseIdle:
		line["event_type"], line["endpoint"] = "HangUp", a.Endpoint
	case choice.Wake:
		line["event_type"], line["when"], line["tag"] = "Defer", milliseconds(a.At), a.Tag
	case choice.Watch:
		line["event_type"], line["enable"] = "Track", true
	case choice.LogLine:
		line["event_type"], line["text"] = "JournalLine", a.Text
	default:
		return nil, fmt.Errorf("no line for action %T", a)
	}
	return json.Marshal(line)
}

// BrokenLine returns the line that reports a crash of package choice in a simulated node.
func BrokenLine(node, text string) []byte {
	b, err := json.Marshal(map[string]string{"event_type": "Broken", "node": node, "text": text})
	if err != nil {
		return []byte(`{"event_type":"Broken"}`)
	}
	return b
}

// DoneLine ends the reply to a batch.
const DoneLine = `{"event_type":"Done"}`
