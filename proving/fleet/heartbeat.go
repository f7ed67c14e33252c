package fleet

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatEvery is how often a worker reports to the agent beside it.
const heartbeatEvery = 300 * time.Millisecond

// heartbeatTimeout bounds one heartbeat.
const heartbeatTimeout = time.Second

// heartbeat is a report of a life of a worker.
type heartbeat struct {
	instance string
	body     []byte
}

// heartbeat reports the worker to the agent once.
func (w *Worker) heartbeat() { w.send(w.composeHeartbeat()) }

// composeHeartbeat returns the next report of the present life.
func (w *Worker) composeHeartbeat() heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life.sequence++
	l := w.life
	body, _ := json.Marshal(l.describe(map[string]any{
		"service": service, "address": "", "zone": w.hall, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": w.room.CPU, "mem-mb": w.room.Memory}, "labels": []string{"a", "r1-1"},
		"clock-ms": l.clock(), "sequence": l.sequence,
	}))
	return heartbeat{instance: l.instance, body: body}
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
