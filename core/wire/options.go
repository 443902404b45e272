package wire

import "connectrpc.com/connect"

const gzipName = "gzip"

// WithoutCompression returns the option of a handler that never compresses
// responses. Weights and short responses gain nothing from it.
func WithoutCompression() connect.HandlerOption { return connect.WithCompression(gzipName, nil, nil) }

// minCompressedBytes is the minimum length of a message that
// WithLargeMessageCompression compresses.
const minCompressedBytes = 4 << 10

// WithLargeMessageCompression returns the option of a handler that compresses only
// large messages. Compressing small ones costs time and memory and makes them
// longer.
func WithLargeMessageCompression() connect.HandlerOption {
	return connect.WithCompressMinBytes(minCompressedBytes)
}
