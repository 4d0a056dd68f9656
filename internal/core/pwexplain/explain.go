// Package pwexplain finds in the logs of all processes why a request ended as
// it did: what was decided about it, on what grounds, and what happened to the
// backend servers and to the store at that time.
//
// # Usage
//
//	lines, bad := pwexplain.Parse(r)
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
	// around is the time before and after a request in which events count.
	around = 5 * time.Second
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// maxAround bounds the events that are shown beside a request.
	maxAround = 40
)

// Line is one log line.
type Line struct {
	Time     time.Time      `json:"timestamp"`
	Message  string         `json:"message"`
	Level    string         `json:"level"`
	Fields   map[string]any `json:"fields"`
	position int
}

// FieldText returns a field as text.
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

// Explanation says why a request ended as it did.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is "answered", "refused", "cut", "caller_left" or "unknown".
	Outcome string `json:"outcome"`
	Status  string `json:"status,omitempty"`
	// Cause and Error are those of the end; Verdict says whether it may have run.
	Cause   string `json:"cause,omitempty"`
	Verdict string `json:"verdict,omitempty"`
	Error   string `json:"error,omitempty"`
	// Why is the cause in a sentence.
	Why      string   `json:"why"`
	Instance string   `json:"instance"`
	Servers  []string `json:"backend_servers,omitempty"`
	Steps    []Step   `json:"steps"`
	// Surrounding holds what happened to these servers and to the process meanwhile.
	Surrounding []Step `json:"around,omitempty"`
	// LinesLeftOut is the number of lines that the process left out or dropped.
	LinesLeftOut int `json:"lines_left_out"`
}

// Step is one event.
type Step struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	Detail   string    `json:"detail"`
}

// Parse reads log lines. What stands before the first brace of a line, such as
// a prefix of the collector, is skipped. It returns the number of lines that
// could not be read.
func Parse(r io.Reader) (lines []Line, bad int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	for sc.Scan() {
		raw := sc.Bytes()
		i := bytes.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(raw[i:], &l) != nil || l.Message == "" {
			bad++
			continue
		}
		l.position = len(lines)
		lines = append(lines, l)
	}
	if errors.Is(sc.Err(), bufio.ErrTooLong) {
		return lines, bad + 1, nil
	}
	return lines, bad, sc.Err()
}

// ends are the events that end a request.
var ends = map[string]bool{
	"answered":    true,
	"refused":     true,
	"cut":         true,
	"caller_left": true,
}

// Explain collects what the lines say about a request. A unique beginning of
// its identifier is enough.
func Explain(lines []Line, id string) (Explanation, bool) {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		return id == "" || !strings.HasPrefix(l.FieldText("request"), id)
	})
	if len(own) == 0 {
		return Explanation{}, false
	}
	sortLines(own)
	full := own[0].FieldText("request")
	own = slices.DeleteFunc(own, func(l Line) bool { return l.FieldText("request") != full })
	ex := Explanation{
		Request:  full,
		Outcome:  "unknown",
		Instance: own[0].FieldText("instance"),
	}
	servers := make(map[string]bool)
	for i := range own {
		l := &own[i]
		ex.Steps = append(ex.Steps, step(l))
		if s := l.FieldText("backend_server"); s != "" && !servers[s] {
			servers[s] = true
			ex.Servers = append(ex.Servers, s)
		}
		if ends[l.Message] {
			ex.Outcome, ex.Status = l.Message, l.FieldText("status")
			ex.Cause, ex.Verdict, ex.Error = l.FieldText("cause"), l.FieldText("verdict"), l.FieldText("error")
		}
	}
	ex.findAround(lines, own, servers)
	ex.Why = ex.why(own)
	return ex, true
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.position - b.position
	})
}

// findAround adds events of the same servers, and of the process itself.
func (ex *Explanation) findAround(lines, own []Line, servers map[string]bool) {
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	var found []Line
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(to) || l.FieldText("request") == ex.Request {
			continue
		}
		process := l.FieldText("instance") == ex.Instance
		if process && l.Message == "lines_left_out" {
			ex.LinesLeftOut += number(l.Fields["count"])
		}
		switch l.Message {
		case "server_gone", "server_lapsed", "server_listed", "server_suspect", "crash_counted":
			if servers[l.FieldText("backend_server")] {
				found = append(found, l)
			}
		case "store lost", "store is back", "store history lost", "config_in_force", "data_centre_marked",
			"start", "stop", "stopping", "reload", "lines_left_out", "peer_silent":
			if process {
				found = append(found, l)
			}
		}
	}
	sortLines(found)
	if len(found) > maxAround {
		found = found[:maxAround]
	}
	for i := range found {
		ex.Surrounding = append(ex.Surrounding, step(&found[i]))
	}
}

func number(v any) int {
	n, _ := v.(float64)
	return int(n)
}

// hidden are fields that each line has, or that stand beside the event.
var hidden = map[string]bool{
	"request":     true,
	"instance":    true,
	"data_centre": true,
}

func step(l *Line) Step {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !hidden[name] && l.FieldText(name) != "" {
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

// sentences says what a cause means for a request that was not served.
var sentences = map[string]string{
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
	"retry_budget":         "a server failed it, and the service's budget of repeats was used up",
	"quarantined":          "it had crashed backend servers before",
	"unavailable":          "a backend server could not be reached, or the connection broke without an answer",
	"engine_failed":        "a backend server failed, fell silent or broke off while it worked on the request",
}

// why says in a sentence what the end rests on.
func (ex *Explanation) why(own []Line) string {
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
	if s := sentences[ex.Cause]; s != "" {
		b.WriteString(": " + s)
	}
	repeats, waited, first, gap := 0, "", "", ""
	for i := range own {
		switch l := &own[i]; l.Message {
		case "repeated":
			repeats++
		case "answered", "refused", "cut", "caller_left":
			waited, first, gap = l.FieldText("waited_ms"), l.FieldText("first_ms"), l.FieldText("max_gap_ms")
		}
	}
	if repeats > 0 {
		fmt.Fprintf(&b, "; it was sent again %d times after failures", repeats)
	}
	if waited != "" && waited != "0" {
		fmt.Fprintf(&b, "; it waited %s ms for a place", waited)
	}
	if first != "" {
		fmt.Fprintf(&b, "; first event after %s ms, longest pause %s ms", first, gap)
	}
	return b.String() + "."
}
