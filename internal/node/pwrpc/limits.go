package pwrpc

import "connectrpc.com/connect"

// compressMinBytes is the size from which messages are compressed. Load reports and
// single tokens are far smaller; compressing them took eight times the CPU time of the
// rest of the call.
const compressMinBytes = 1 << 10

// HandlerOptions returns the size limit and compression options of handlers that other
// processes call.
func HandlerOptions(maxMessageBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// ClientOptions returns the size limit and compression options of clients of other
// processes.
func ClientOptions(maxMessageBytes int) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}
