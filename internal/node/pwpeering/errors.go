package pwpeering

import "errors"

// errMalformedMessage is returned for a message with a wrong magic number or with
// more entries than allowed.
var errMalformedMessage = errors.New("malformed load message")
