package fleet

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatInterval is the interval of a worker's reports to its agent.
const heartbeatInterval = 300 * time.Millisecond

// heartbeatTimeout bounds one heartbeat.
const heartbeatTimeout = time.Second

// heartbeat is a report of an incarnation of a worker.
type heartbeat struct {
	instance string
	body     []byte
}

// heartbeat sends one report to the agent.
func (w *Worker) heartbeat() { w.send(w.nextHeartbeat()) }

// nextHeartbeat returns the next report of the current incarnation.
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

// send sends a report to the agent.
func (w *Worker) send(h heartbeat) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.agent + "/instances/" + h.instance + "/heartbeat")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(h.body)
	// The next report makes up for one without an answer.
	_ = fasthttp.DoTimeout(request, response, heartbeatTimeout)
}
