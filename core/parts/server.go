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
	// memoryLimitRatio is the share of the memory that is set as the soft limit of the
	// Go runtime. The rest is for memory that the runtime doesn't account for.
	memoryLimitRatio = 0.7
	// adminShutdownTimeout bounds the wait for calls to the administration address at shutdown.
	adminShutdownTimeout = 300 * time.Millisecond
)

// ServerSettings are the settings shared by the programs that follow a feed.
type ServerSettings struct {
	Host  hosts.Name
	Role  hosts.Role
	Level logs.Level
	// AdminAddress is where metrics and further paths for operators are served.
	AdminAddress netip.AddrPort
	// MemoryLimit is the memory that the process may use.
	MemoryLimit config.Bytes
}

// ServerOptions returns the log, on standard output, the clients and the metrics of a
// program.
func ServerOptions(s ServerSettings) fx.Option {
	return fx.Options(
		fx.Supply(s, s.Role, links.SystemNetwork()),
		fx.Provide(newServerLog, newPeerClient, newMetrics, newAdmin),
		fx.Invoke(setMemoryLimit, serveAdmin),
	)
}

func newServerLog(lc fx.Lifecycle, s ServerSettings) (*zap.Logger, error) {
	l, stop, err := logs.New(os.Stdout, s.Level)
	if err != nil {
		return nil, err
	}
	return shell.WithCleanup(lc, l.With(zap.String("host", string(s.Host))), stop), nil
}

func setMemoryLimit(s ServerSettings) {
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryLimitRatio))
}

// Admin is the handler of the administration address. Programs may add paths to it.
type Admin struct{ *http.ServeMux }

func newAdmin(m Metrics) Admin {
	a := Admin{http.NewServeMux()}
	a.Handle("/metrics", m.Handler)
	return a
}

func serveAdmin(lc fx.Lifecycle, s ServerSettings, network links.Network, admin Admin, log *zap.Logger) error {
	l, err := network.Listen(context.Background(), s.AdminAddress)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, admin, log, adminShutdownTimeout)))
	return nil
}

// SeedWatcher applies changes of the seeds, the addresses at which a process finds
// other members. They are the only setting that can change at run time.
type SeedWatcher struct {
	// File is the path of the settings file.
	File string
	// Read returns the seeds in the file, or an error if any setting in it is invalid.
	Read func() ([]netip.AddrPort, error)
	Set  func([]netip.AddrPort)
	Log  *zap.Logger
}

// Watch starts to watch the settings file. The clean-up function stops it.
func (s SeedWatcher) Watch() func() { return reload.Watch(s.File, s.Log, s.reload) }

func (s SeedWatcher) reload() {
	seeds, err := s.Read()
	if err != nil {
		s.Log.Error("settings-refused", zap.String("file", s.File), zap.Error(err))
		return
	}
	s.Set(seeds)
	s.Log.Info("settings-applied", zap.String("file", s.File), zap.Int("seeds", len(seeds)))
}
