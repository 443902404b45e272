package parts

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/core/config"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/logs"
	"currantport.example/core/reload"
	"currantport.example/core/shell"
)

const (
	// memoryShare is the part of the memory that the collector aims at. The rest is for
	// what it doesn't see.
	memoryShare = 0.7
	// metricsWithin bounds the end of calls to the metrics at a stop.
	metricsWithin = 300 * time.Millisecond
)

// ServerSettings is what programs that take the rows of a feed have in common.
type ServerSettings struct {
	Host  hosts.Name
	Role  hosts.Role
	Level logs.Level
	// AdminAddress is where metrics are served.
	AdminAddress netip.AddrPort
	// MemoryLimit is what the process may use.
	MemoryLimit config.Bytes
}

// ServerOptions returns the log, on standard output, the clients and the metrics of a
// program.
func ServerOptions(s ServerSettings) fx.Option {
	return fx.Options(
		fx.Supply(s, s.Role, links.SystemNetwork()),
		fx.Provide(newServerLog, newPeerClient, newMetrics),
		fx.Invoke(setMemory, startMetrics),
	)
}

func newServerLog(lc fx.Lifecycle, s ServerSettings) (*zap.Logger, error) {
	l, stop, err := logs.New(os.Stdout, s.Level)
	if err != nil {
		return nil, err
	}
	return shell.WithCleanup(lc, l.With(zap.String("host", string(s.Host))), stop), nil
}

func setMemory(s ServerSettings) { debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryShare)) }

func startMetrics(lc fx.Lifecycle, s ServerSettings, network links.Network, m Metrics, log *zap.Logger) error {
	l, err := network.Listen(context.Background(), s.AdminAddress)
	if err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.Handle("/metrics", m.Handler)
	lc.Append(fx.StopHook(links.Serve(l, admin, log, metricsWithin)))
	return nil
}

// SeedWatcher are the addresses at which a process looks for others. Of the settings they alone
// can change while it runs.
type SeedWatcher struct {
	// File is that of the settings.
	File string
	// Read reads the seeds of the file, or returns the faults of the file.
	Read func() ([]netip.AddrPort, error)
	Set  func([]netip.AddrPort)
	Log  *zap.Logger
}

// Watch follows changes of the settings file. The clean-up function ends that.
func (s SeedWatcher) Watch() func() { return reload.Watch(s.File, s.Log, s.renew) }

func (s SeedWatcher) renew() {
	seeds, err := s.Read()
	if err != nil {
		s.Log.Error("settings-refused", zap.String("file", s.File), zap.Error(err))
		return
	}
	s.Set(seeds)
	s.Log.Info("settings-in-force", zap.String("file", s.File), zap.Int("seeds", len(seeds)))
}
