package store

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
)

// Names and limits of the platform's HTTP protocol.
const (
	HeaderVersion   = "X-Version"
	HeaderHolder    = "X-Holder"
	HeaderRemaining = "X-Remaining-Ms"

	callTimeout  = 2 * time.Second
	watchTimeout = 20 * time.Second
)

// HTTP is the adapter to the platform's service over HTTP.
type HTTP struct {
	client  *fasthttp.HostClient
	address string
}

// NewHTTP returns an adapter to the service at an address of the form host:port.
func NewHTTP(address string) *HTTP {
	return &HTTP{address: address, client: httpclient.New(address, watchTimeout+callTimeout)}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Record, error) {
	return h.read(ctx, "/v1/keys/"+url.PathEscape(key), callTimeout)
}

// Watch implements Store; it waits up to 20 seconds and ends early with ctx.
func (h *HTTP) Watch(ctx context.Context, key string, after Version) (Record, error) {
	type result struct {
		record Record
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		record, err := h.wait(ctx, key, after)
		answered <- result{record, err}
	}()
	select {
	case r := <-answered:
		return r.record, r.err
	case <-ctx.Done():
		return Record{}, fault.Wrap(ctx.Err(), fault.Unavailable, "the watch was canceled")
	}
}

func (h *HTTP) wait(ctx context.Context, key string, after Version) (Record, error) {
	query := "?after=" + strconv.FormatUint(uint64(after), 10) + "&wait_ms=" + strconv.FormatInt(watchTimeout.Milliseconds(), 10)
	return h.read(ctx, "/v1/keys/"+url.PathEscape(key)+query, watchTimeout+callTimeout)
}

func (h *HTTP) read(ctx context.Context, path string, timeout time.Duration) (Record, error) {
	var record Record
	err := h.do(ctx, fasthttp.MethodGet, path, timeout, nil, nil, func(response *fasthttp.Response) error {
		version, err := strconv.ParseUint(string(response.Header.Peek(HeaderVersion)), 10, 64)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "the store's answer has no version")
		}
		record = NewRecord(Version(version), append([]byte(nil), response.Body()...))
		return nil
	})
	if fault.Is(err, fault.OutcomeUnknown) {
		return Record{}, fault.Wrap(err, fault.Unavailable, "the store cannot be read")
	}
	return record, err
}

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, key string, from Version, value []byte) (Version, error) {
	headers := map[string]string{HeaderVersion: strconv.FormatUint(uint64(from), 10)}
	var version Version
	err := h.do(ctx, fasthttp.MethodPut, "/v1/keys/"+url.PathEscape(key), callTimeout, headers, value,
		func(response *fasthttp.Response) error {
			n, err := strconv.ParseUint(string(response.Header.Peek(HeaderVersion)), 10, 64)
			if err != nil {
				return fault.Wrap(err, fault.OutcomeUnknown, "the store's answer has no version")
			}
			version = Version(n)
			return nil
		})
	return version, err
}

// Acquire implements Store.
func (h *HTTP) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	headers := map[string]string{HeaderHolder: holder, HeaderRemaining: strconv.FormatInt(ttl.Milliseconds(), 10)}
	return h.lease(ctx, fasthttp.MethodPut, name, headers)
}

// Holder implements Store.
func (h *HTTP) Holder(ctx context.Context, name string) (Lease, error) {
	return h.lease(ctx, fasthttp.MethodGet, name, nil)
}

// Release implements Store.
func (h *HTTP) Release(ctx context.Context, name, holder string) error {
	_, err := h.lease(ctx, fasthttp.MethodDelete, name, map[string]string{HeaderHolder: holder})
	return err
}

func (h *HTTP) lease(ctx context.Context, method, name string, headers map[string]string) (Lease, error) {
	sentAt := time.Now()
	var lease Lease
	err := h.do(ctx, method, "/v1/leases/"+url.PathEscape(name), callTimeout, headers, nil,
		func(response *fasthttp.Response) error {
			millis, err := strconv.ParseInt(string(response.Header.Peek(HeaderRemaining)), 10, 64)
			if err != nil {
				return fault.Wrap(err, fault.OutcomeUnknown, "the store's answer has no remaining time")
			}
			remaining := time.Duration(millis)*time.Millisecond - time.Since(sentAt)
			lease = NewLease(string(response.Header.Peek(HeaderHolder)), max(remaining, 0))
			return nil
		})
	return lease, err
}

type errorBody struct {
	Message string `json:"message"`
}

func (h *HTTP) do(ctx context.Context, method, path string, timeout time.Duration, headers map[string]string,
	body []byte, decode func(*fasthttp.Response) error,
) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + h.address + path)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := h.client.DoDeadline(request, response, httpclient.Deadline(ctx, timeout)); err != nil {
		return sendError(err)
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return decode(response)
	case fasthttp.StatusConflict:
		if err := decode(response); err != nil {
			return err
		}
		return fault.New(fault.Conflict, "the store has another version or holder")
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return fault.New(fault.Unavailable, "the store is refusing calls (status %d)", status)
	default:
		var message errorBody
		_ = json.Unmarshal(response.Body(), &message)
		return fault.New(fault.Internal, "the store answered status %d: %s", status, message.Message)
	}
}

func sendError(err error) error {
	if httpclient.NotSent(err) {
		return fault.Wrap(err, fault.Unavailable, "the store cannot be reached")
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "the store's answer was lost")
}
