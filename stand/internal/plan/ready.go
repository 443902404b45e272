package plan

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// startWithin bounds the start of the stand-ins.
	startWithin = 30 * time.Second
	dialWait    = 50 * time.Millisecond
)

// WaitReady returns once the stand-ins of the platform accept connections.
func (p Plan) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for _, at := range []netip.AddrPort{p.Config, p.Fleet, p.Store, p.Origin} {
		if err := await(ctx, at); err != nil {
			return err
		}
	}
	return nil
}

func await(ctx context.Context, at netip.AddrPort) error {
	var dialer net.Dialer
	for {
		c, err := dialer.DialContext(ctx, "tcp", at.String())
		if err == nil {
			return c.Close()
		}
		select {
		case <-time.After(dialWait):
		case <-ctx.Done():
			return err
		}
	}
}
