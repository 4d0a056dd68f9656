package main

import (
	"fmt"
	"time"
)

// runOdd lets another writer list the machines of the crew-desk servers under a service that
// the configuration does not name, and then sends ordinary requests. Without trouble the
// other writer lists nothing.
func runOdd(rec *recorder, dir string, trouble bool) (bool, error) {
	m, err := newModelSite(rec, dir)
	defer m.stop()
	if err != nil {
		return false, err
	}
	if _, _, views, served := m.traffic(rec, "before", 5*time.Second); served < views*9/10 {
		return false, fmt.Errorf("before the disruption only %d of %d views were served", served, views)
	}
	if trouble {
		for i, s := range m.desks {
			entry := s.entry()
			entry["service"], entry["born"] = "stock-scanner", time.Now().UnixMilli()
			m.st.put("servers", fmt.Sprintf("x-scanner%d", i), entry)
			rec.logf("writer    lists x-scanner%d of service stock-scanner, which the configuration does not name, at %s", i, s.address)
		}
	}
	time.Sleep(5 * time.Second)
	notes, served, views, viewsServed := m.traffic(rec, "after", 30*time.Second)
	// Starved: a kind of request is served less than a quarter as often as all requests.
	all := float64(served+viewsServed) / float64(notes+views)
	own := float64(viewsServed) / float64(views)
	rec.logf("counted   share of views served %.3f, of all requests %.3f", own, all)
	return own >= all/4, nil
}
