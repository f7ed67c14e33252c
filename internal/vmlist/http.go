package vmlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

const callTimeout = 2 * time.Second

// Wire is the JSON form of a line of the list.
type Wire struct {
	Instance string `json:"instance"`
	Hall     string `json:"hall"`
	Rack     int    `json:"rack"`
	State    string `json:"state"`
}

// HTTP reads the list over HTTP.
type HTTP struct {
	client  *fasthttp.HostClient
	address string
	logger  logging.Logger
	// skippedLog rate-limits the log lines about skipped entries.
	skippedLog rate.Sometimes
}

// skippedLogInterval is the minimum time between log lines about skipped entries.
const skippedLogInterval = 2 * time.Second

// NewHTTP returns the client of the list at an address of the form host:port.
func NewHTTP(address string, logger logging.Logger) *HTTP {
	return &HTTP{
		address: address, client: httpclient.New(address, callTimeout), logger: logger, skippedLog: rate.Sometimes{Interval: skippedLogInterval},
	}
}

// VMs implements List.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + h.address + "/v1/vms")
	if err := h.client.DoDeadline(request, response, httpclient.Deadline(ctx, callTimeout)); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the list of VMs cannot be read")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, fault.New(fault.Unavailable, "the list of VMs answered status %d", response.StatusCode())
	}
	return decodeList(response.Body(), func(position int, reason error) {
		h.skippedLog.Do(func() { h.logger.Warn("entry of the list of VMs skipped; position=%d reason=%v", position, reason) })
	})
}

// decodeList returns the VMs of a list, without the entries that cannot be used, which are passed to skip with their position.
func decodeList(data []byte, skip func(position int, reason error)) ([]VM, error) {
	elements, err := splitArray(data)
	if err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(elements))
	for position, element := range elements {
		var w Wire
		err := json.Unmarshal(element, &w)
		switch {
		case err != nil:
			skip(position, err)
		case w.Instance == "" || w.Hall == "" || w.Rack < 1:
			skip(position, fault.New(fault.BadInput, "an instance, a hall or a rack from 1 is missing"))
		default:
			vms = append(vms, NewVM(w.Instance, w.Hall, w.Rack, parseState(w.State)))
		}
	}
	return vms, nil
}

func parseState(name string) State {
	for s := Live; s <= Gone; s++ {
		if s.String() == name {
			return s
		}
	}
	return Leaving
}
