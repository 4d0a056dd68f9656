package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// leaveAfter is how long a caller waits before it leaves: half the objective of the route.
const leaveAfter = 50 * time.Millisecond

// lookUpAndLeave looks a booking up on a connection of its own. A caller that leaves shuts its
// side of the connection down in an orderly way and reads until the gateway has closed the
// other side, so that nothing that is still on its way is met by a reset. It returns whether
// the caller got a success without a server's signature.
func lookUpAndLeave(rec *recorder, f *front, attempt string, leave bool) (unsigned bool, err error) {
	conn, err := net.DialTimeout("tcp4", f.callers, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	rec.logf("sent      %s to %s", attempt, f.name)
	if _, err := fmt.Fprintf(conn, "GET /view/%s HTTP/1.1\r\nHost: crew.example\r\nX-Attempt-Id: %s\r\n"+
		"X-Deadline-Milliseconds: 600\r\nAuthorization: Bearer key0a\r\n\r\n", attempt, attempt); err != nil {
		return false, err
	}
	if leave {
		time.Sleep(leaveAfter)
		rec.logf("leaves    %s", attempt)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return false, err
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.logf("answered  %s: the connection was closed without a response: %v", attempt, err)
		return false, nil
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	seal := resp.Header.Get("X-Response-Seal")
	rec.logf("answered  %s: %d, seal %q, %d bytes, %v", attempt, resp.StatusCode, seal, len(body), err)
	return resp.StatusCode/100 == 2 && (seal == "" || !strings.Contains(string(body), "did "+attempt)), nil
}

// runLeave sends look-ups of which three in ten are left by their callers before the deadline.
// Without trouble all callers stay.
func runLeave(rec *recorder, dir string, trouble bool) (bool, error) {
	m, err := newModelSite(rec, dir)
	defer m.stop()
	if err != nil {
		return false, err
	}
	for _, s := range m.desks {
		s.work = 110 * time.Millisecond
	}
	broken := 0
	for n := range 100 {
		attempt := fmt.Sprintf("look-%d", n)
		unsigned, err := lookUpAndLeave(rec, m.fronts[n%len(m.fronts)], attempt, trouble && n%10 < 3)
		if err != nil {
			return false, err
		}
		if unsigned {
			broken++
			rec.logf("broken    %s got a success without a server's signature and body", attempt)
		}
	}
	rec.logf("counted   %d of 100 look-ups got a success without a server's signature", broken)
	return broken == 0, nil
}
