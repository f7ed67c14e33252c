package platform

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the faults of a stand-in, which are set over its path /control/NAME.
type Faults struct {
	mu             sync.Mutex
	down           bool
	slow           time.Duration
	answersToLose  int
	versionsBehind int
}

// Control accepts down, up, slow?ms=N, lose?answers=N and old?versions=N.
func (f *Faults) Control(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case "/control/down":
		f.down = true
	case "/control/up":
		f.down, f.slow, f.answersToLose, f.versionsBehind = false, 0, 0, 0
	case "/control/slow":
		f.slow = time.Duration(args.GetUintOrZero("ms")) * time.Millisecond
	case "/control/lose":
		f.answersToLose = args.GetUintOrZero("answers")
	case "/control/old":
		f.versionsBehind = args.GetUintOrZero("versions")
	default:
		ctx.Error("no such fault", fasthttp.StatusNotFound)
	}
}

// Enter delays a call and reports whether it may proceed; while the stand-in is down it refuses the call.
func (f *Faults) Enter(ctx *fasthttp.RequestCtx) bool {
	f.mu.Lock()
	down, slow := f.down, f.slow
	f.mu.Unlock()
	if slow > 0 {
		<-time.After(slow)
	}
	if down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
	}
	return !down
}

// LoseAnswer drops the connection instead of answering a write that took effect, for the requested number of answers.
func (f *Faults) LoseAnswer(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersToLose == 0 {
		return
	}
	f.answersToLose--
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c netConn) { _ = c.Close() })
}

// Behind returns by how many versions answers are stale.
func (f *Faults) Behind() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionsBehind
}

func writeJSON(ctx *fasthttp.RequestCtx, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
