package node

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/platform"
)

const (
	// secret rejects connections of other programs. It is fixed since the platform issues no secret to the processes, and its
	// network connects only its own VMs.
	secret = "saffronpulley-processes"
	// memoryShare is the share of the configured memory that is set as the memory limit of the runtime.
	memoryShare = 0.6
	// gcPercent lets small heaps grow more than the default of 100 before a collection, which costs processor time.
	gcPercent = 300
	// bodyLimit is above the operators' limits, so that a job over these is rejected with an error message.
	bodyLimit   = 4 << 20
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// maxLocalConnections bounds the connections to one listener of the worker, the platform's health checks and operators.
	maxLocalConnections = 128
)

// process holds the state that both roles share.
type process struct {
	settings *Settings
	boot     string
	logger   logging.Logger
	clock    *timeline.Clock
	metrics  *metric.Registry
	store    kv.Store
	health   *kv.Health
	mux      *rpc.Mux
	pool     *relay.Pool
}

// Run runs the configured role until SIGTERM or SIGINT; SIGHUP, from hangups, reloads the settings until the process ends.
func Run(path string, hangups <-chan os.Signal) error {
	settings, err := Load(path)
	if err != nil {
		return err
	}
	logger, err := logging.New(settings.LogLevel(), "json", settings.ID())
	if err != nil {
		return err
	}
	defer logger.Flush()
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes())))
	debug.SetGCPercent(gcPercent)
	p := &process{
		settings: settings, boot: ulid.Make().String(), logger: logger, clock: timeline.NewClock(time.Now),
		metrics: metric.New(), health: &kv.Health{},
	}
	p.store = measuredStore{store: platform.NewStore(settings.Store(), logger.Named("store")), metrics: p.metrics, health: p.health}
	p.metrics.RegisterProcess()
	p.mux = rpc.NewMux(p.clock)
	p.pool = relay.NewPool(settings.PeerAddress(), secret, p.mux, settings.KnownEntries())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go p.reload(ctx, path, hangups)
	logger.Info("process: started; role=%s boot=%s hall=%s", settings.Role(), p.boot, settings.Hall())
	if settings.Role() == RoleEntry {
		err = p.runEntry(ctx)
	} else {
		err = p.runAgent(ctx)
	}
	logger.Info("process: ended; reason=%v", err)
	return err
}

// reload reloads the settings at SIGHUP and adds the known entries; other changes take effect at the next start. It goes on while the process stops,
// which serves callers with the help of other entries until its end.
func (p *process) reload(ctx context.Context, path string, hangups <-chan os.Signal) {
	for range hangups {
		reloaded, err := Load(path)
		if err != nil {
			p.logger.Error("process: cannot load the changed settings: %v", err)
			continue
		}
		p.pool.Add(reloaded.KnownEntries())
		p.logger.Info("process: settings reloaded; changed=%t stopping=%t", reloaded.file != p.settings.file, ctx.Err() != nil)
	}
}

// serve serves requests on an address, with a maximum number of connections.
func serve(address, setting string, connections int, handler fasthttp.RequestHandler) (*admin.Server, error) {
	listener, err := admin.Listen(address, setting)
	if err != nil {
		return nil, err
	}
	limits := admin.Limits{Body: bodyLimit, Read: readTimeout, Idle: idleTimeout, Connections: connections}
	return admin.Serve(listener, limits, handler, admin.RefuseAsText), nil
}

// serveMetrics serves the metrics of the process.
func (p *process) serveMetrics(ready func() bool) (*admin.Server, error) {
	health := admin.Health{Ready: ready, Metrics: p.metrics}
	return serve(p.settings.MetricsAddress(), "ports.metrics", maxLocalConnections, func(ctx *fasthttp.RequestCtx) {
		if !health.Handle(ctx) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
}
