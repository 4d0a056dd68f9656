package pwobserve

import (
	"io"
	"sync/atomic"
)

// DefaultBufferLines is the usual number of log lines that an AsyncWriter buffers.
const DefaultBufferLines = 4096

// AsyncWriter writes lines in the background. When its buffer is full, it drops and
// counts further lines, so that logging never delays a request.
//
//	w := pwobserve.NewAsyncWriter(os.Stdout, pwobserve.DefaultBufferLines)
//	o := pwobserve.New(w, "gateway-1", "hakata")
//	defer w.Close()
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that buffers up to the given number of lines, at
// least one.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	w := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, max(1, lines)),
		done:  make(chan struct{}),
	}
	go w.loop()
	return w
}

// Write queues a copy of one line, or drops the line if the buffer is full. It never
// returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// HalfFull reports whether more than half of the buffer is in use.
func (w *AsyncWriter) HalfFull() bool { return len(w.lines) > cap(w.lines)/2 }

// DroppedLines returns the number of lines dropped so far. A failed write counts as
// one, however many lines it had.
func (w *AsyncWriter) DroppedLines() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called
// afterwards.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}

// loop writes the queued lines, several in one call when more are waiting.
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
	// A failure to write the log cannot be reported anywhere, so it is only counted
	// as a drop.
	if _, err := w.out.Write(buf); err != nil {
		w.dropped.Add(1)
	}
}
