package plan

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// startTimeout bounds the start of the fakes.
	startTimeout = 30 * time.Second
	dialInterval = 50 * time.Millisecond
)

// WaitReady waits until the fakes of the platform accept connections, for at most
// 30 seconds.
func (p Plan) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, at := range []netip.AddrPort{p.Config, p.Fleet, p.Store, p.Origin} {
		if err := waitForListener(ctx, at); err != nil {
			return err
		}
	}
	return nil
}

func waitForListener(ctx context.Context, at netip.AddrPort) error {
	var dialer net.Dialer
	for {
		c, err := dialer.DialContext(ctx, "tcp", at.String())
		if err == nil {
			return c.Close()
		}
		select {
		case <-time.After(dialInterval):
		case <-ctx.Done():
			return err
		}
	}
}
