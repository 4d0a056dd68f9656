package pwgateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/pomeloweir/pomeloweir/internal/core/pwholding"
)

const (
	// maxResponseBytes limits a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// minBufferBytes is the smallest buffer for a body of unknown length.
	minBufferBytes = 4 << 10
)

// errResponseTooLarge is returned for a response above maxResponseBytes.
var errResponseTooLarge = fmt.Errorf("the response exceeds %d bytes", maxResponseBytes)

// readResponseBody reads a response of at most maxResponseBytes. Its memory stays reserved.
func readResponseBody(resp *http.Response, held *pwholding.Holder) ([]byte, error) {
	body, err := readHeld(io.LimitReader(resp.Body, maxResponseBytes+1), held, pwholding.Responses, mostBytes(resp.ContentLength, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, err
}

// mostBytes returns the most bytes that a body of a length, which is negative if it is not
// known, can have within a limit.
func mostBytes(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return min(length, limit)
}

// readHeld reads a body of at most a number of bytes, and reserves the memory of its buffer
// before it grows. The memory stays reserved, also after an error.
func readHeld(r io.Reader, held *pwholding.Holder, class pwholding.Class, most int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(body, held, class, most)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of a full buffer with room for more.
func grow(full []byte, held *pwholding.Holder, class pwholding.Class, most int64) ([]byte, error) {
	// One byte more than the body has shows its end without another copy.
	capacity := max(cap(full)+1, min(int(most)+1, max(minBufferBytes, 2*cap(full))))
	if err := held.Acquire(class, int64(capacity-cap(full))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, capacity), full...), nil
}
