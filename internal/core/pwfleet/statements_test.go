package pwfleet

import (
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

// Guards against requests to a server that has stated in an answer that it leaves, that it
// wants none for a while, or only so many, if its entry was removed before or after the
// answer: entries of servers also expire while the servers run, and are written again.
func TestStatementsOfRemovedServersHold(t *testing.T) {
	for name, state := range map[string]func(*Fleet, pwcatalog.BackendServer){
		"leaves": func(f *Fleet, s pwcatalog.BackendServer) { f.MarkLeaving(s) },
		"rests":  func(f *Fleet, s pwcatalog.BackendServer) { f.RecordRest(start, s, time.Minute) },
		"limits": func(f *Fleet, s pwcatalog.BackendServer) { f.RecordLimit(start, s, 1, true) },
	} {
		for entry, list := range map[string]func(*Fleet, pwcatalog.BackendServer){
			"written again":  func(f *Fleet, s pwcatalog.BackendServer) { f.Upsert(start, s) },
			"from a copy":    func(f *Fleet, s pwcatalog.BackendServer) { f.UpsertRestored(start, s, start) },
			"of a new start": func(f *Fleet, s pwcatalog.BackendServer) { f.Upsert(start, startedAgain(s)) },
		} {
			t.Run(name+", entry "+entry, func(t *testing.T) {
				f := newTestFleet(0)
				s := listed("e-0", "model", "hakata")
				f.Upsert(start, s)
				f.Remove(start, s.ID)
				state(f, s)
				f.Upsert(start, s)
				f.Remove(start, s.ID)
				list(f, s)
				_, err := f.Plan(start, short())
				if works := err == nil; works != (entry == "of a new start") {
					t.Errorf("the server gets work: %v (%v)", works, err)
				}
			})
		}
	}
}

// startedAgain returns the entry of the next incarnation of a server, which starts after the
// answers that the tests record.
func startedAgain(s pwcatalog.BackendServer) pwcatalog.BackendServer {
	s.StartUnixMS = start.Add(time.Second).UnixMilli()
	return s
}

// Guards against requests to a server that has asked for rest just after its start, when the
// entry of the incarnation before was still listed under its identifier, or removed.
func TestRestAskedForBeforeEntryOfNewIncarnationHolds(t *testing.T) {
	ended := listed("e-0", "model", "hakata")
	running := startedAgain(ended)
	askedAt := start.Add(1500 * time.Millisecond)
	for name, record := range map[string]func(*Fleet){
		"answer before the entry": func(f *Fleet) {
			f.RecordRest(askedAt, ended, time.Minute)
			f.Upsert(askedAt, running)
		},
		"answer after the removal": func(f *Fleet) {
			f.Remove(askedAt, ended.ID)
			f.RecordRest(askedAt, ended, time.Minute)
			f.Upsert(askedAt, running)
		},
		"answer after the entry": func(f *Fleet) {
			f.Upsert(askedAt, running)
			f.RecordRest(askedAt, ended, time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(0)
			f.Upsert(start, ended)
			record(f)
			if err := f.CheckSend(askedAt.Add(59*time.Second), running.ID); err == nil {
				t.Error("the server gets work during its rest")
			}
			if err := f.CheckSend(askedAt.Add(time.Minute), running.ID); err != nil {
				t.Errorf("the server gets no work after its rest: %v", err)
			}
		})
	}
}

// Guards against a late answer of an ended incarnation that keeps the one that has started
// under the same identifier without work.
func TestStatementsOfEarlierIncarnationsDoNotCount(t *testing.T) {
	for name, state := range map[string]func(*Fleet, pwcatalog.BackendServer) bool{
		"leaves": func(f *Fleet, s pwcatalog.BackendServer) bool { return f.MarkLeaving(s) },
		"rests":  func(f *Fleet, s pwcatalog.BackendServer) bool { return f.RecordRest(start, s, time.Minute) },
		"limits": func(f *Fleet, s pwcatalog.BackendServer) bool { return f.RecordLimit(start, s, 1, true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(0)
			ended := listed("e-0", "model", "hakata")
			running := startedAgain(ended)
			f.Upsert(start, ended)
			f.Upsert(start, running)
			if state(f, ended) {
				t.Error("the statement of the ended incarnation counts")
			}
			if _, err := f.Plan(start, short()); err != nil {
				t.Errorf("the running incarnation gets no work: %v", err)
			}
			if !state(f, running) {
				t.Error("the statement of the running incarnation does not count")
			}
			if _, err := f.Plan(start, short()); err == nil {
				t.Error("the running incarnation gets work although it has stated that it wants none")
			}
		})
	}
}
