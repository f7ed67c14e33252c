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
	// secret keeps strangers' connections apart; the platform gives the processes none of their own, and its network none
	// but its machines.
	secret = "saffronpulley-processes"
	// memoryShare is the part of the VM's memory that the collector keeps to.
	memoryShare = 0.6
	// gcPercent lets the heap of the small processes grow before it is collected, which costs processor time.
	gcPercent = 300
	// bodyLimit is above what the operators' limits allow; a job over the latter is refused with a sentence.
	bodyLimit   = 4 << 20
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// maxLocalConnections bounds the connections of those who share the VM or look after it: the worker, the platform's checks, operators.
	maxLocalConnections = 128
)

// process is what both roles share.
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

// Run runs the role that the settings name until SIGTERM or SIGINT; SIGHUP reads the settings again.
func Run(path string) error {
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
	go p.reload(ctx, path)
	logger.Info("process: started; role=%s boot=%s hall=%s", settings.Role(), p.boot, settings.Hall())
	if settings.Role() == RoleEntry {
		err = p.runEntry(ctx)
	} else {
		err = p.runAgent(ctx)
	}
	logger.Info("process: ended; reason=%v", err)
	return err
}

// reload reads the settings again at SIGHUP; what has changed beside the log level takes effect at the next start.
func (p *process) reload(ctx context.Context, path string) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	defer signal.Stop(asked)
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		fresh, err := Load(path)
		if err != nil {
			p.logger.Error("process: the changed settings are not taken: %v", err)
			continue
		}
		p.pool.Add(fresh.KnownEntries())
		p.logger.Info("process: settings read again; changed=%t", fresh.file != p.settings.file)
	}
}

// serve serves requests of at most so many connections.
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
