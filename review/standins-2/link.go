package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is the network between one gateway and the store. It can be cut: then it drops what is
// sent, and both ends send it again as TCP does, after 0.2, 0.6, 1.4, 3.0 and 6.2 s; a connection
// that is opened meanwhile is established after 1, 3 or 7 s. What the first of these finds after
// the cut arrives.
type link struct {
	addr, target string

	mu           sync.Mutex
	from, to     time.Time
	watch        []byte
	watchStarted chan time.Time
}

var (
	retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond}
	synRetries      = []time.Duration{time.Second, 3 * time.Second, 7 * time.Second}
)

func newLink(target string) *link {
	l := &link{target: target}
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("link: %v", err)
	}
	l.addr = lis.Addr().String()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.run(c)
		}
	}()
	return l
}

// cut cuts the link from now on for d.
func (l *link) cut(d time.Duration) (from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = time.Now()
	l.to = l.from.Add(d)
	return l.from, l.to
}

// onNext returns a channel that gets the time at which a call that holds text next passes.
func (l *link) onNext(text string) chan time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch, l.watchStarted = []byte(text), make(chan time.Time, 1)
	return l.watchStarted
}

func (l *link) seen(p []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watch != nil && bytes.Contains(p, l.watch) {
		l.watchStarted <- time.Now()
		l.watch = nil
	}
}

// arrival returns when what is sent at a time arrives.
func (l *link) arrival(sent time.Time, tries []time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.Before(l.from) || !sent.Before(l.to) {
		return sent
	}
	for _, d := range tries {
		if at := sent.Add(d); !at.Before(l.to) {
			return at
		}
	}
	return l.to
}

func (l *link) run(c net.Conn) {
	defer func() { _ = c.Close() }()
	time.Sleep(time.Until(l.arrival(time.Now(), synRetries)))
	s, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{}, 2)
	relay := func(to, from net.Conn, calls bool) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if calls {
				l.seen(buf[:n])
			}
			time.Sleep(time.Until(l.arrival(time.Now(), retransmissions)))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go relay(s, c, true)
	go relay(c, s, false)
	<-done
}
