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

// heartbeat reports the worker to the agent once.
func (w *Worker) heartbeat() {
	w.mu.Lock()
	w.life.sequence++
	l := w.life
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": "", "zone": "", "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": w.room.CPU, "mem-mb": w.room.Memory}, "labels": []string{"a", "r1-1"},
		"clock-ms": l.clock(), "sequence": l.sequence,
	})
	w.mu.Unlock()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.agent + "/instances/" + l.instance + "/heartbeat")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	// An agent that does not answer is told again with the next report.
	_ = fasthttp.DoTimeout(request, response, heartbeatTimeout)
}
