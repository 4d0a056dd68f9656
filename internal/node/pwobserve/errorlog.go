package pwobserve

import (
	stdlog "log"
	"strings"
)

// ErrorLog returns a logger for the error messages of an HTTP server, such as failed TLS
// handshakes and panics of handlers. They become lines of the log, instead of text on
// standard error.
func (o *Observer) ErrorLog() *stdlog.Logger {
	return stdlog.New(errorLogWriter{
		obs: o,
	}, "", 0)
}

type errorLogWriter struct {
	obs *Observer
}

// Write implements io.Writer. Each call writes one message.
func (w errorLogWriter) Write(p []byte) (int, error) {
	w.obs.Info("HTTP server", "detail", strings.TrimSpace(string(p)))
	return len(p), nil
}
