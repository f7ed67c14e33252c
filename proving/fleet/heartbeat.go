package fleet

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatInterval is how often a worker reports to the agent beside it.
const heartbeatInterval = 300 * time.Millisecond

// heartbeatTimeout bounds one heartbeat.
const heartbeatTimeout = time.Second

// heartbeat is a report of a life of a worker.
type heartbeat struct {
	instance string
	body     []byte
}

// heartbeat reports the worker to the agent once.
func (w *Worker) heartbeat() { w.send(w.nextHeartbeat()) }

// nextHeartbeat returns the next report of the present life.
func (w *Worker) nextHeartbeat() heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation.sequence++
	inc := w.incarnation
	body, _ := json.Marshal(inc.withStartTime(map[string]any{
		"service": service, "address": "", "zone": w.hall, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": w.capacity.CPU, "mem-mb": w.capacity.Memory}, "labels": []string{"a", "r1-1"},
		"clock-ms": inc.clock(), "sequence": inc.sequence,
	}))
	return heartbeat{instance: inc.instance, body: body}
}

// send gives the agent a report.
func (w *Worker) send(h heartbeat) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.agent + "/instances/" + h.instance + "/heartbeat")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(h.body)
	// An agent that does not answer is told again with the next report.
	_ = fasthttp.DoTimeout(request, response, heartbeatTimeout)
}
