package intake_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/intake"
)

const (
	megabyte    = 1 << 20
	maxBytes    = 4 * megabyte
	bodyBytes   = megabyte
	waitTimeout = 500 * time.Millisecond
)

// client sends a body of which the last bytes may never come.
type client struct {
	// length is that of the body, sent what the client sends of it, in pieces with a pause before each.
	length, sent int
	isAnnounced  bool
	piece        int
	pause        time.Duration

	given       int
	interrupted chan struct{}
	once        sync.Once
}

func newClient(length, sent int, isAnnounced bool, piece int, pause time.Duration) *client {
	return &client{length: length, sent: sent, isAnnounced: isAnnounced, piece: piece, pause: pause, interrupted: make(chan struct{})}
}

// whole returns a client that sends all at once.
func whole(length int) *client { return newClient(length, length, true, length, 0) }

// stalled returns a client that stops one byte short.
func stalled(length int, isAnnounced bool) *client {
	return newClient(length, length-1, isAnnounced, length, 0)
}

func (c *client) interrupt() { c.once.Do(func() { close(c.interrupted) }) }

// Read implements io.Reader.
func (c *client) Read(p []byte) (int, error) {
	select {
	case <-c.interrupted:
		return 0, os.ErrDeadlineExceeded
	case <-time.After(c.pause):
	}
	if c.given == c.length {
		return 0, io.EOF
	}
	if c.given == c.sent {
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	n := min(len(p), c.piece, c.sent-c.given)
	c.given += n
	return n, nil
}

func (c *client) body() intake.Body {
	b := intake.Body{Reader: c, Length: -1, MaxBytes: bodyBytes, WaitTimeout: waitTimeout, Interrupt: c.interrupt}
	if c.isAnnounced {
		b.Length = int64(c.length)
	}
	return b
}

// send has the intake read the body of a client.
func send(in *intake.Intake, c *client) (func(), error) {
	data, release, err := in.Read(context.Background(), c.body())
	if err == nil && len(data) != c.length {
		return release, io.ErrUnexpectedEOF
	}
	return release, err
}

func newIntake() *intake.Intake {
	return intake.New(intake.Options{MaxBytes: maxBytes})
}

// crowd has clients send bodies until the context ends.
func crowd(ctx context.Context, in *intake.Intake, group *sync.WaitGroup, clients ...*client) {
	for _, c := range clients {
		context.AfterFunc(ctx, c.interrupt)
		group.Go(func() {
			release, _ := send(in, c)
			release()
		})
	}
}

func TestBodiesAreReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		for _, length := range []int{1, 4 << 10, 4<<10 + 1, 64 << 10, bodyBytes - 1, bodyBytes} {
			for _, isAnnounced := range []bool{true, false} {
				c := newClient(length, length, isAnnounced, 1000, 0)
				release, err := send(in, c)
				if err != nil || in.Used() < int64(length) {
					t.Errorf("%d bytes, announced %t: %v, %d bytes used", length, isAnnounced, err, in.Used())
				}
				release()
				release()
			}
		}
		if in.Used() != 0 {
			t.Errorf("%d bytes are still used", in.Used())
		}
	})
}

func TestBodyAboveItsLimitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		announced := whole(bodyBytes + 1)
		if _, err := send(in, announced); !errors.Is(err, intake.ErrTooLong) || announced.given > 0 {
			t.Errorf("announced: %v after %d bytes", err, announced.given)
		}
		if _, err := send(in, newClient(2*bodyBytes, 2*bodyBytes, false, 32<<10, 0)); !errors.Is(err, intake.ErrTooLong) {
			t.Errorf("not announced: %v", err)
		}
		if in.Used() != 0 {
			t.Errorf("%d bytes are still used", in.Used())
		}
	})
}

// TestStalledBodiesGiveWay has clients stop before the end of their bodies until the intake is full.
func TestStalledBodiesGiveWay(t *testing.T) {
	for _, isAnnounced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			in := newIntake()
			ctx, leave := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for range 60 {
				crowd(ctx, in, &group, stalled(bodyBytes, isAnnounced))
			}
			time.Sleep(time.Second)
			for _, length := range []int{100, 64 << 10, bodyBytes} {
				if release, err := send(in, whole(length)); err != nil {
					t.Errorf("announced %t, %d bytes beside stalled bodies: %v", isAnnounced, length, err)
				} else {
					release()
				}
			}
			leave()
			group.Wait()
			if in.Used() != 0 {
				t.Errorf("announced %t: %d bytes are still used", isAnnounced, in.Used())
			}
		})
	}
}

// TestTrickledBodiesGiveWay has clients send a byte from time to time.
func TestTrickledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		ctx, leave := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range 60 {
			crowd(ctx, in, &group, newClient(bodyBytes, bodyBytes, true, 1, 10*time.Millisecond))
		}
		time.Sleep(time.Second)
		if release, err := send(in, whole(bodyBytes)); err != nil {
			t.Errorf("beside trickled bodies: %v", err)
		} else {
			release()
		}
		leave()
		group.Wait()
	})
}

func TestSlowBodyIsReadInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		for _, isAnnounced := range []bool{true, false} {
			if release, err := send(in, newClient(bodyBytes, bodyBytes, isAnnounced, 1<<10, time.Second)); err != nil {
				t.Errorf("announced %t: %v", isAnnounced, err)
			} else {
				release()
			}
		}
	})
}

// TestShortBodiesAreReadBesideLongOnes fills the part of the long ones with bodies of requests that run.
func TestShortBodiesAreReadBesideLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		var releases []func()
		for range 10 {
			release, err := send(in, whole(bodyBytes))
			releases = append(releases, release)
			if err != nil && !errors.Is(err, intake.ErrNoMemory) {
				t.Fatal(err)
			}
		}
		if in.Used() > maxBytes*3/4 {
			t.Errorf("long bodies use %d bytes", in.Used())
		}
		for range 10 {
			release, err := send(in, whole(intake.ShortBytes))
			releases = append(releases, release)
			if err != nil {
				t.Errorf("a short body: %v", err)
			}
		}
		for _, r := range releases {
			r()
		}
		if in.Used() != 0 {
			t.Errorf("%d bytes are still used", in.Used())
		}
	})
}

// TestSoundCrowdIsServedInTurn has more long bodies come at once than fit.
func TestSoundCrowdIsServedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		var group sync.WaitGroup
		var failed atomic.Int32
		for range 7 {
			group.Go(func() {
				release, err := send(in, newClient(bodyBytes, bodyBytes, true, 64<<10, 5*time.Millisecond))
				if err != nil {
					failed.Add(1)
				}
				time.Sleep(30 * time.Millisecond)
				release()
			})
		}
		group.Wait()
		if failed.Load() > 0 {
			t.Errorf("%d of 7 bodies were refused", failed.Load())
		}
	})
}

func TestLongestBodyIsReadAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := intake.New(intake.Options{MaxBytes: bodyBytes / 2})
		for _, isAnnounced := range []bool{true, false} {
			release, err := send(in, newClient(bodyBytes, bodyBytes, isAnnounced, bodyBytes, 0))
			if err != nil {
				t.Fatalf("announced %t: %v", isAnnounced, err)
			}
			if short, err := send(in, whole(1<<10)); err != nil {
				t.Errorf("announced %t, a short body beside it: %v", isAnnounced, err)
			} else {
				short()
			}
			if _, err := send(in, whole(bodyBytes)); !errors.Is(err, intake.ErrNoMemory) {
				t.Errorf("announced %t, another one: %v", isAnnounced, err)
			}
			release()
		}
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake()
		for range 3 {
			if _, err := send(in, whole(bodyBytes)); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		_, _, err := in.Read(ctx, whole(bodyBytes).body())
		if !errors.Is(err, context.Canceled) || time.Since(began) > 110*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if _, err := send(in, whole(100)); err != nil {
			t.Errorf("a short body after it: %v", err)
		}
	})
}

// TestMemoryStaysWithinItsBound plays clients of all kinds and checks the bound after each step.
func TestMemoryStaysWithinItsBound(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			in := newIntake()
			random := rand.New(rand.NewPCG(seed, 64))
			ctx, leave := context.WithCancel(context.Background())
			var group sync.WaitGroup
			var read atomic.Int32
			for range 300 {
				length := 1 + random.IntN(bodyBytes)
				if random.IntN(2) == 0 {
					length = 1 + random.IntN(100)
				}
				sent := length - random.IntN(2)
				c := newClient(length, sent, random.IntN(2) == 0, 1+random.IntN(bodyBytes), time.Duration(random.IntN(50))*time.Millisecond)
				runs := time.Duration(random.IntN(200)) * time.Millisecond
				context.AfterFunc(ctx, c.interrupt)
				group.Go(func() {
					release, err := send(in, c)
					if err == nil {
						read.Add(1)
						time.Sleep(runs)
					}
					release()
				})
				if used := in.Used(); used > maxBytes || used < 0 {
					t.Fatalf("seed %d: %d bytes are used", seed, used)
				}
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			leave()
			group.Wait()
			if in.Used() != 0 || read.Load() == 0 {
				t.Errorf("seed %d: %d bytes are still used, %d bodies were read", seed, in.Used(), read.Load())
			}
		})
	}
}

func TestWithoutBoundNothingWaits(t *testing.T) {
	in := intake.New(intake.Options{})
	var releases []func()
	for range 20 {
		data, release, err := in.Read(context.Background(), intake.Body{Reader: bytes.NewReader(make([]byte, bodyBytes)), Length: bodyBytes, MaxBytes: bodyBytes})
		if err != nil || len(data) != bodyBytes {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		releases = append(releases, release)
	}
	for _, r := range releases {
		r()
	}
}
