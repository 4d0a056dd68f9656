// Package pwexplain reconstructs from the logs of all processes why a request ended as
// it did: the decisions about it, the reasons for them, and the events of its backend
// servers and of the store at that time.
//
// # Usage
//
//	lines, unreadable, err := pwexplain.Parse(r)
//	ex, ok := pwexplain.Explain(lines, "9c41d07be2a35f68")
//	fmt.Println(ex.Outcome, ex.Cause)
package pwexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// surroundingTime is the time before and after a request in which other events are
	// included.
	surroundingTime = 5 * time.Second
	// maxLineBytes is the largest length of a log line.
	maxLineBytes = 1 << 20
	// maxSurrounding is the largest number of surrounding events in an Explanation.
	maxSurrounding = 40
)

// Line is a parsed log line.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Level   string         `json:"level"`
	Fields  map[string]any `json:"fields"`
	// position is the index of the line in the input.
	position int
}

// FieldText returns the value of a field as text, or "" if the line doesn't have it.
func (l *Line) FieldText(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// Explanation describes how and why a request ended, with the events that led to it.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is "answered", "refused", "cut", "caller_left" or "unknown".
	Outcome string `json:"outcome"`
	Status  string `json:"status,omitempty"`
	// Cause and Error are taken from the event that ended the request. Verdict states
	// whether the request may have run.
	Cause   string `json:"cause,omitempty"`
	Verdict string `json:"verdict,omitempty"`
	Error   string `json:"error,omitempty"`
	// Why explains the outcome in a sentence.
	Why      string   `json:"why"`
	Instance string   `json:"instance"`
	Servers  []string `json:"backend_servers,omitempty"`
	Steps    []Step   `json:"steps"`
	// Surrounding holds other events of these servers and of the process around the
	// time of the request.
	Surrounding []Step `json:"around,omitempty"`
	// LinesLeftOut is the number of log lines that the process left out or dropped.
	LinesLeftOut int `json:"lines_left_out"`
}

// Step is one event in an Explanation.
type Step struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	Detail   string    `json:"detail"`
}

// Parse reads log lines in JSON. It skips the text before the first brace of a line,
// such as a prefix added by a log collector, and lines without a brace. unreadable is
// the number of lines that could not be parsed; reading stops at a line that is too
// long.
func Parse(r io.Reader) (lines []Line, unreadable int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sc.Scan() {
		raw := sc.Bytes()
		i := bytes.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(raw[i:], &l) != nil || l.Message == "" {
			unreadable++
			continue
		}
		l.position = len(lines)
		lines = append(lines, l)
	}
	if errors.Is(sc.Err(), bufio.ErrTooLong) {
		return lines, unreadable + 1, nil
	}
	return lines, unreadable, sc.Err()
}

// finalEvents are the events that end a request.
var finalEvents = map[string]bool{
	"answered":    true,
	"refused":     true,
	"cut":         true,
	"caller_left": true,
}

// Explain explains the end of the request whose identifier begins with id. If several
// requests match, it uses the one with the earliest line. It reports whether a line of
// the request was found.
func Explain(lines []Line, id string) (Explanation, bool) {
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return id == "" || !strings.HasPrefix(l.FieldText("request"), id)
	})
	if len(requestLines) == 0 {
		return Explanation{}, false
	}
	sortLines(requestLines)
	fullID := requestLines[0].FieldText("request")
	requestLines = slices.DeleteFunc(requestLines, func(l Line) bool { return l.FieldText("request") != fullID })
	ex := Explanation{
		Request:  fullID,
		Outcome:  "unknown",
		Instance: requestLines[0].FieldText("instance"),
	}
	servers := make(map[string]bool)
	for i := range requestLines {
		l := &requestLines[i]
		ex.Steps = append(ex.Steps, newStep(l))
		if s := l.FieldText("backend_server"); s != "" && !servers[s] {
			servers[s] = true
			ex.Servers = append(ex.Servers, s)
		}
		if finalEvents[l.Message] {
			ex.Outcome, ex.Status = l.Message, l.FieldText("status")
			ex.Cause, ex.Verdict, ex.Error = l.FieldText("cause"), l.FieldText("verdict"), l.FieldText("error")
		}
	}
	ex.addSurrounding(lines, requestLines, servers)
	ex.Why = ex.summary(requestLines)
	return ex, true
}

// sortLines sorts lines by time, and by position in the input among equal times.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.position - b.position
	})
}

// addSurrounding adds the events of the given servers and of the process that handled
// the request, from shortly before the request until shortly after it.
func (ex *Explanation) addSurrounding(lines, requestLines []Line, servers map[string]bool) {
	from, to := requestLines[0].Time.Add(-surroundingTime), requestLines[len(requestLines)-1].Time.Add(surroundingTime)
	var found []Line
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(to) || l.FieldText("request") == ex.Request {
			continue
		}
		sameProcess := l.FieldText("instance") == ex.Instance
		if sameProcess && l.Message == "lines_left_out" {
			ex.LinesLeftOut += toInt(l.Fields["count"])
		}
		switch l.Message {
		case "server_gone", "server_lapsed", "server_listed", "server_suspect", "crash_counted",
			"server_limited", "server_limit_lifted":
			if servers[l.FieldText("backend_server")] {
				found = append(found, l)
			}
		case "store lost", "store is back", "store history lost", "config_in_force", "data_centre_marked",
			"start", "stop", "stopping", "reload", "lines_left_out", "peer_silent",
			"part_quarantined", "part_released", "quarantine_restored":
			if sameProcess {
				found = append(found, l)
			}
		}
	}
	sortLines(found)
	if len(found) > maxSurrounding {
		found = found[:maxSurrounding]
	}
	for i := range found {
		ex.Surrounding = append(ex.Surrounding, newStep(&found[i]))
	}
}

// toInt returns a number decoded from JSON as an int, or 0 for other values.
func toInt(v any) int {
	n, _ := v.(float64)
	return int(n)
}

// omittedFields are the fields that newStep leaves out of Detail: each line has them,
// and Step has the instance as a field.
var omittedFields = map[string]bool{
	"request":     true,
	"instance":    true,
	"data_centre": true,
}

// newStep returns the event of a line, with its fields as name=value in Detail.
func newStep(l *Line) Step {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !omittedFields[name] && l.FieldText(name) != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+l.FieldText(name))
	}
	return Step{
		Time:     l.Time,
		Instance: l.FieldText("instance"),
		Event:    l.Message,
		Detail:   strings.Join(parts, " "),
	}
}

// causeDescriptions explains each cause with which requests are refused or fail.
var causeDescriptions = map[string]string{
	"unauthenticated":      "its key belonged to no workspace in the configuration in force; compare config_in_force with the operators' changes",
	"not_found":            "no route of the configuration in force has this host and path",
	"bad_request":          "the request itself could not be accepted",
	"no_candidate":         "no backend server of the service could get work; the error counts the reasons",
	"concurrency_full":     "all slots of the service's engines were taken",
	"prefill_busy":         "no set of engines had room to read the prompt before its caller would leave",
	"memory_full":          "engines rejected it or had no memory for the prompt",
	"queue_full":           "too many requests were waiting already",
	"deadline_unreachable": "the work that came first would have taken longer than its caller waits",
	"deadline_exceeded":    "its time was over before a server could be asked, or while one worked",
	"retry_budget":         "a server failed it, and the service's retry budget was used up",
	"quarantined":          "it, or others with a part of its prompt, had crashed backend servers before",
	"unavailable":          "a backend server could not be reached, or the connection broke without an answer",
	"engine_failed":        "a backend server failed, stopped responding or broke off while it worked on the request",
}

// summary returns the sentence for Why.
func (ex *Explanation) summary(requestLines []Line) string {
	var b strings.Builder
	switch ex.Outcome {
	case "answered":
		b.WriteString("It was answered")
	case "refused":
		fmt.Fprintf(&b, "It was refused with %s (%s)", ex.Status, ex.Verdict)
	case "cut":
		b.WriteString("Its answer was cut off after it had begun")
	case "caller_left":
		b.WriteString("Its caller left before the answer was complete")
	default:
		b.WriteString("The logs hold no end: the process died, is still at work, or left lines out")
	}
	if s := causeDescriptions[ex.Cause]; s != "" {
		b.WriteString(": " + s)
	}
	retries, queuedMS, firstEventMS, maxGapMS := 0, "", "", ""
	for i := range requestLines {
		switch l := &requestLines[i]; l.Message {
		case "repeated":
			retries++
		case "answered", "refused", "cut", "caller_left":
			queuedMS, firstEventMS, maxGapMS = l.FieldText("waited_ms"), l.FieldText("first_ms"), l.FieldText("max_gap_ms")
		}
	}
	if retries > 0 {
		fmt.Fprintf(&b, "; it was sent again %d times after failures", retries)
	}
	if queuedMS != "" && queuedMS != "0" {
		fmt.Fprintf(&b, "; it waited %s ms for a place", queuedMS)
	}
	if firstEventMS != "" {
		fmt.Fprintf(&b, "; first event after %s ms, longest pause %s ms", firstEventMS, maxGapMS)
	}
	return b.String() + "."
}
