package pwtransport

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status of an HTTP response.
const maxStatus = 599

// StatusError is returned for something in the form of a response whose status is none, such
// as 000. Its server may have run the request.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%03d is no status of a response", e.Status)
}

// CheckStatus returns a *StatusError unless a status is informational (1xx) or that of a final
// response (200 to 599).
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return &StatusError{
			Status: status,
		}
	}
	return nil
}
