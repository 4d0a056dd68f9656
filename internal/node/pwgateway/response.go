package pwgateway

import (
	"errors"
	"fmt"
	"io"
)

const (
	// maxResponseBytes limits a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// responseStepBytes is the unit in which memory is reserved for a buffered response
	// that does not fit into requestOverheadBytes.
	responseStepBytes = 64 << 10
	// freeResponseBytes is the part of a buffered response that requestOverheadBytes
	// covers.
	freeResponseBytes = 8 << 10
)

var (
	// errResponseTooLarge is returned for a response above maxResponseBytes.
	errResponseTooLarge = fmt.Errorf("the response exceeds %d bytes", maxResponseBytes)
	// errNoResponseMemory is returned when the memory of running requests is used up.
	errNoResponseMemory = errors.New("no memory is left to buffer the response")
)

// readResponseBody reads a response of at most maxResponseBytes. Its memory counts
// toward Policy.MaxRequestMemory until release is called, which the caller must do also
// after an error.
func (g *Gateway) readResponseBody(r io.Reader) (body []byte, release func(), err error) {
	var reserved int64
	release = func() { g.reservedMemory.Add(-reserved) }
	body = make([]byte, 0, freeResponseBytes/2)
	for {
		if len(body) == cap(body) {
			if len(body) >= maxResponseBytes {
				return nil, release, errResponseTooLarge
			}
			size := min(maxResponseBytes, max(freeResponseBytes, 2*cap(body)))
			if size > freeResponseBytes {
				step := (int64(size) + responseStepBytes - 1) / responseStepBytes * responseStepBytes
				if g.reservedMemory.Add(step) > g.cfg.Policy.MaxRequestMemory {
					g.reservedMemory.Add(-step)
					return nil, release, errNoResponseMemory
				}
				reserved += step
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}
