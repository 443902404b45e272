package intake

import (
	"context"
	"errors"
	"io"
	"math"
	"time"
)

// share is the memory of one body. The goroutine that reads the body owns the fields received and body, the
// mutex of the intake guards the others.
type share struct {
	intake *Intake
	body   Body
	// size is the memory in bytes.
	size int64
	// isWaiting is true while the body waits for memory, so that it makes no progress.
	isWaiting bool
	// isGivenUp is set when the body is given up for others.
	isGivenUp bool
	// progressAt is when the client had last made progress.
	progressAt time.Time
	// received counts the bytes since then.
	received int
}

// read reads the body.
func (s *share) read(ctx context.Context) ([]byte, error) {
	first := s.body.Length
	if first < 0 {
		first = min(minBufferBytes, s.body.MaxBytes+1)
	}
	if err := s.take(ctx, first); err != nil {
		return nil, err
	}
	data := make([]byte, 0, first)
	for {
		if len(data) == cap(data) && s.body.Length < 0 {
			var err error
			if data, err = s.grow(ctx, data); err != nil {
				return nil, err
			}
		}
		n, err := s.readTo(data)
		data = data[:len(data)+n]
		if int64(len(data)) > s.body.MaxBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		s.recordProgress(n)
	}
}

// readTo reads into the free part of a buffer. A full one holds a body of the announced length, of which only the
// end is left to read.
func (s *share) readTo(data []byte) (int, error) {
	if len(data) < cap(data) {
		return s.body.Reader.Read(data[len(data):cap(data)])
	}
	var extra [1]byte
	n, err := s.body.Reader.Read(extra[:])
	if n > 0 {
		return 0, ErrTooLong
	}
	return 0, err
}

// grow returns the data in a larger buffer.
func (s *share) grow(ctx context.Context, data []byte) ([]byte, error) {
	size := min(2*int64(cap(data)), s.body.MaxBytes+1)
	if err := s.take(ctx, size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	s.intake.free(s, int64(cap(data)))
	return larger, nil
}

func (s *share) take(ctx context.Context, n int64) error {
	err := s.intake.take(ctx, s, n)
	s.received = 0
	return err
}

// recordProgress counts received bytes.
func (s *share) recordProgress(n int) {
	if s.received += n; s.received < progressBytes {
		return
	}
	s.received = 0
	s.intake.mutex.Lock()
	defer s.intake.mutex.Unlock()
	s.progressAt = time.Now()
}

// release frees all memory.
func (s *share) release() { s.intake.free(s, math.MaxInt64) }

// isStalled reports whether the client has made no progress for too long. The caller holds the mutex.
func (s *share) isStalled(now time.Time) bool {
	return !s.isWaiting && !s.isGivenUp && now.Sub(s.progressAt) >= stallTimeout
}
