package wire

import "connectrpc.com/connect"

const gzipName = "gzip"

// WithoutCompression makes a handler answer without compression. Weights and
// short answers gain nothing by it.
func WithoutCompression() connect.HandlerOption { return connect.WithCompression(gzipName, nil, nil) }

// compressedBytes is the least length of a message that WithLargeCompression
// compresses.
const compressedBytes = 4 << 10

// WithLargeMessageCompression returns the option of a handler whose messages are mostly
// small. Compressing these costs time and memory and makes them longer.
func WithLargeMessageCompression() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressedBytes)
}
