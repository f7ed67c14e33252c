package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/idempotency"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderKey        = "X-Request-Key"
	HeaderRepeatable = "X-Repeatable"
	HeaderRequestID  = "X-Request-Id"
)

const (
	pathServices = "/v1/services/"
	pathJobs     = "/v1/jobs"
	maxKey       = 200
	maxDeadline  = 10 * time.Minute
)

// HandleCallers serves the callers' HTTP API.
func (e *Entry) HandleCallers(ctx *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.leaving.Load() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, pathServices) && ctx.IsPost():
		e.handleRequest(ctx, strings.TrimPrefix(path, pathServices))
	case path == pathJobs && ctx.IsPost():
		e.handleSubmit(ctx)
	case strings.HasPrefix(path, pathJobs+"/") && ctx.IsGet():
		e.handleJob(ctx, strings.TrimPrefix(path, pathJobs+"/"))
	case strings.HasPrefix(path, pathJobs+"/") && ctx.IsDelete():
		e.handleCancel(ctx, strings.TrimPrefix(path, pathJobs+"/"))
	default:
		writeError(ctx, fault.New(fault.NotFound, "there is no %s %s", ctx.Method(), path))
	}
}

// request is a caller's request while the entry handles it.
type request struct {
	id          string
	service     string
	contentType string
	body        []byte
	key         string
	once        bool
	deadline    time.Time
	slot        int
	epoch       uint64
}

// storedKey returns the key prefixed with its service; a service name has no space, so the first space separates them.
func (r *request) storedKey() string { return r.service + " " + r.key }

func (e *Entry) handleRequest(ctx *fasthttp.RequestCtx, service string) {
	startedAt := time.Now()
	r, err := e.readRequest(ctx, service, startedAt)
	if err != nil {
		e.Metrics.Counter("requests.refused").Inc(1)
		writeError(ctx, err)
		return
	}
	answer, err := e.serve(r)
	e.Metrics.Histogram("requests.latency_us").Update(time.Since(startedAt).Microseconds())
	ctx.Response.Header.Set(HeaderRequestID, r.id)
	if err != nil {
		e.Metrics.Counter("requests.failed." + fault.KindOf(err).String()).Inc(1)
		e.recordFailure(r, err)
		writeError(ctx, err)
		return
	}
	e.Metrics.Counter("requests.answered").Inc(1)
	writeAnswer(ctx, answer)
}

// recordFailure records a failed request on the timeline, refused ones at a limited rate, since they come in floods.
func (e *Entry) recordFailure(r *request, err error) {
	subject := timeline.Subject{Request: r.id}
	text := r.service + ": " + err.Error()
	switch {
	case fault.KindOf(err).Answer().Ran() == fault.RanUnknown:
		e.Recorder.Record(timeline.RequestOutcomeUnknown, subject, text)
	case e.refusals.Allow():
		e.Recorder.Record(timeline.RequestRefused, subject, text)
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer *idempotency.Answer) {
	ctx.SetStatusCode(answer.Status())
	ctx.SetContentType(answer.ContentType())
	ctx.SetBody(answer.Body())
}

func (e *Entry) readRequest(ctx *fasthttp.RequestCtx, service string, now time.Time) (*request, error) {
	deadline, err := e.readDeadline(ctx, now)
	if err != nil {
		return nil, err
	}
	r := &request{
		id: e.requestIDs.next(), service: service, body: ctx.Request.Body(), deadline: deadline,
		contentType: string(ctx.Request.Header.ContentType()),
		key:         string(ctx.Request.Header.Peek(HeaderKey)),
	}
	switch repeatable := string(ctx.Request.Header.Peek(HeaderRepeatable)); repeatable {
	case "yes":
	case "", "no":
		r.once = true
	default:
		return nil, fault.New(fault.BadInput, "%s is %q; use yes or no", HeaderRepeatable, repeatable)
	}
	if len(r.key) > maxKey {
		return nil, fault.New(fault.BadInput, "%s is %d bytes long; the limit is %d", HeaderKey, len(r.key), maxKey)
	}
	return r, nil
}

func (e *Entry) readDeadline(ctx *fasthttp.RequestCtx, now time.Time) (time.Time, error) {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return now.Add(e.Timing.DefaultDeadline), nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis < 1 || millis > int(maxDeadline.Milliseconds()) {
		return time.Time{}, fault.New(fault.BadInput, "%s is %q; use a whole number of milliseconds from 1 to %d",
			HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// serve routes a request; one with a key that may not be repeated goes through the owner of the key.
func (e *Entry) serve(r *request) (*idempotency.Answer, error) {
	// A stopping entry accepts requests until its keys are handed over, since the load balancer may still send them.
	if e.keys.closing.Load() {
		return nil, fault.New(fault.Leaving, "the entry is stopping")
	}
	if err := e.checkService(r.service); err != nil {
		return nil, err
	}
	if r.once && r.key != "" {
		return e.keys.serve(r)
	}
	return e.route(r)
}

func (e *Entry) checkService(service string) error {
	t, _, loaded := e.tableDocument.Current()
	if !loaded {
		return fault.New(fault.Unavailable, "the table has not been read yet")
	}
	if _, ok := t.Row(service); !ok {
		return fault.New(fault.NotFound, "the table has no service %q", service)
	}
	return nil
}
