package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// caseLapse cuts the link between one gateway and the store for 1.5 s, and takes a server away
// shortly afterwards: its entry is removed, and it serves on for drain-ms and a little longer.
func caseLapse(tmp string, trouble bool) bool {
	const (
		cutTime   = 1500 * time.Millisecond
		drain     = 2 * time.Second
		stable    = 3 * time.Second
		linger    = 1500 * time.Millisecond
		removedIn = 100 * time.Millisecond
	)
	st := newStore()
	st.put("op", "config", config(7, 16384))
	runs := &ledger{}
	leaving := startServer(st, runs, "i-ledger-a", "ledger", "scl-a", false)
	startServer(st, runs, "i-ledger-b", "ledger", "scl-b", false)
	other := startServer(st, runs, "i-ledger-c", "ledger", "scl-c", false)
	l := newLink(st.addr)
	g := newGateway(tmp, "front-scl-a-1", "scl-a", l.addr)
	g.start()
	g.awaitReady()
	note("the gateway is ready")

	stop := make(chan struct{})
	var wg sync.WaitGroup
	sentAt := map[string]time.Time{}
	var mu sync.Mutex
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			for i := c; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				id := newID()
				method, path, body := "GET", "/view/1", ""
				if i%2 == 0 {
					method, path, body = "POST", "/book/1", "a reservation"
				}
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				resp, err := client.Do(newRequest(g, method, path, id, body, 600))
				status := 0
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				if err != nil || status != 200 {
					note("%s %s: status %d, %v; %d runs", method, id, status, err, runs.count(id))
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	started := <-l.onNext("table=servers")
	from, healed := time.Now(), time.Now()
	if trouble {
		time.Sleep(10 * time.Millisecond)
		from, healed = l.cut(cutTime)
		note("a watch of the servers began %d ms ago; the link of the gateway to the store is cut for %s", from.Sub(started).Milliseconds(), cutTime)
	}
	time.Sleep(20 * time.Millisecond)
	other.publish(st, "ready")
	time.Sleep(time.Until(from.Add(cutTime + removedIn)))
	st.put("servers", leaving.id, nil)
	removed := time.Now()
	note("the removal of %s is acknowledged, %d ms after the link is back", leaving.id, removed.Sub(healed).Milliseconds())
	time.Sleep(time.Until(removed.Add(drain + linger)))
	_ = leaving.srv.Close()
	note("%s has exited", leaving.id)
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	inTouch := healed.Add(stable)
	if !trouble {
		inTouch = began
	}
	late := 0
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for _, r := range runs.runs {
		if r.server != leaving.id || !r.begun.After(removed.Add(drain)) {
			continue
		}
		touched := r.begun.After(inTouch) && sentAt[r.id].After(inTouch)
		note("%s reached %s %d ms after its removal, %d ms after the link was back; in touch: %t", r.id, r.server,
			r.begun.Sub(removed).Milliseconds(), r.begun.Sub(healed).Milliseconds(), touched)
		if touched {
			late++
		}
	}
	note("%d requests reached %s later than drain-ms after its removal, from a gateway in touch", late, leaving.id)
	return late > 0
}
