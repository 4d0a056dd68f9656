package pwobserve

import (
	"io"
	"sync/atomic"
)

// DefaultBufferLines bounds the log lines that wait to be written.
const DefaultBufferLines = 4096

// AsyncWriter writes lines in the background. A line that finds the buffer
// full is dropped and counted, so that logging never delays a request.
//
//	w := pwobserve.NewAsyncWriter(os.Stdout, pwobserve.DefaultLines)
//	o := pwobserve.New(w, "front-1", "hakata")
//	defer w.Close()
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer with a bounded buffer.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	w := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, max(1, lines)),
		done:  make(chan struct{}),
	}
	go w.loop()
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// HalfFull reports whether more than half of the buffer is taken.
func (w *AsyncWriter) HalfFull() bool { return len(w.lines) > cap(w.lines)/2 }

// DroppedLines returns the number of lines that were dropped.
func (w *AsyncWriter) DroppedLines() int64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer. Write must not be called
// afterwards.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}

func (w *AsyncWriter) loop() {
	defer close(w.done)
	buf := make([]byte, 0, 32<<10)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for len(buf) < cap(buf)/2 {
			select {
			case more, ok := <-w.lines:
				if !ok {
					w.flush(buf)
					return
				}
				buf = append(buf, more...)
				continue
			default:
			}
			break
		}
		w.flush(buf)
	}
}

func (w *AsyncWriter) flush(buf []byte) {
	// There is nowhere to report a log that can't be written; the lines count as dropped.
	if _, err := w.out.Write(buf); err != nil {
		w.dropped.Add(1)
	}
}
