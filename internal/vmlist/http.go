package vmlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
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
}

// NewHTTP returns the client of the list at an address of the form host:port.
func NewHTTP(address string) *HTTP {
	return &HTTP{address: address, client: httpclient.New(address, callTimeout)}
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
	var wires []Wire
	if err := json.Unmarshal(response.Body(), &wires); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the list of VMs cannot be decoded")
	}
	return decode(wires), nil
}

func decode(wires []Wire) []VM {
	vms := make([]VM, 0, len(wires))
	for _, w := range wires {
		vms = append(vms, NewVM(w.Instance, w.Hall, w.Rack, parseState(w.State)))
	}
	return vms
}

func parseState(name string) State {
	for s := Live; s <= Gone; s++ {
		if s.String() == name {
			return s
		}
	}
	return Leaving
}
