package pwpeering

import "errors"

// errMessage is returned for a message that does not have the expected form.
var errMessage = errors.New("malformed load message")
