package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/settings"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

const (
	timelineEvents = 2048
	memoryLimit    = 26 << 20
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxConnections = 4096
)

// process holds the dependencies that both roles share.
type process struct {
	settings *settings.Settings
	logger   logging.Logger
	clock    *timeline.Clock
	recorder *timeline.Recorder
	metrics  *metric.Registry
	store    store.Store
	vms      vmlist.List
}

// Run runs the configured role until SIGTERM or SIGINT, which stops it gracefully; a second signal ends it at once. SIGHUP, from hangups, is only
// logged, also while the process stops: the settings are read once.
func Run(s *settings.Settings, hangups <-chan os.Signal) error {
	logger, err := logging.New(s.LogLevel(), s.LogFormat(), s.ID())
	if err != nil {
		return err
	}
	defer logger.Flush()
	// With this limit the garbage collector runs more often instead of letting the process exceed its share of the VM.
	debug.SetMemoryLimit(memoryLimit)
	httpclient.BindSource(s.Source())
	clock := timeline.NewClock(time.Now)
	p := &process{
		settings: s, logger: logger, clock: clock, metrics: metric.New(),
		recorder: timeline.NewRecorder(clock, s.ID(), timelineEvents),
		store:    store.NewHTTP(s.Store()), vms: vmlist.NewHTTP(s.VMs(), logger.Named("vms")),
	}
	p.metrics.RegisterProcess()
	p.metrics.Gauge("control.bytes", rpc.BytesTransferred)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go exitOnSecondSignal(ctx)
	go p.logHangups(hangups)
	p.recorder.Record(timeline.ProcessStarted, timeline.Subject{}, "started as "+s.Role())
	if s.Role() == settings.RoleEntry {
		return p.runEntry(ctx)
	}
	return p.runAgent(ctx)
}

// secondSignalCode is the exit code after a second signal.
const secondSignalCode = 130

func exitOnSecondSignal(ctx context.Context) {
	<-ctx.Done()
	second := make(chan os.Signal, 1)
	signal.Notify(second, syscall.SIGTERM, os.Interrupt)
	<-second
	os.Exit(secondSignalCode)
}

// logHangups logs each SIGHUP until the process ends.
func (p *process) logHangups(hangups <-chan os.Signal) {
	for range hangups {
		p.logger.Info("process: SIGHUP has no effect; changed settings take effect at the next start")
	}
}

func (p *process) limits() admin.Limits {
	return admin.Limits{Body: p.settings.MaxBody(), Read: readTimeout, Idle: idleTimeout, Connections: maxConnections}
}

// serveAdmin serves health, metrics and, if otherPaths is not nil, the other paths for operators.
func (p *process) serveAdmin(listener net.Listener, ready func() bool, otherPaths func(*fasthttp.RequestCtx) bool) *admin.Server {
	health := admin.Health{Ready: ready, Metrics: p.metrics}
	return admin.Serve(listener, p.limits(), func(ctx *fasthttp.RequestCtx) {
		if health.Handle(ctx) || (otherPaths != nil && otherPaths(ctx)) {
			return
		}
		ctx.Error("there is no such path\n", fasthttp.StatusNotFound)
	}, admin.RefuseAsText)
}
