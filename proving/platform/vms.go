package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// VMs is a stand-in for the platform's list of VMs.
type VMs struct {
	faults Faults

	mu    sync.Mutex
	lag   time.Duration
	lines map[string][]lineVersion
}

type lineVersion struct {
	line vmlist.Wire
	at   time.Time
}

// NewVMs returns an empty list.
func NewVMs() *VMs { return &VMs{lines: make(map[string][]lineVersion)} }

// Handle serves the list; POST /control/set sets a line, and /control/lag?ms=N makes the list lag.
func (v *VMs) Handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/control/set":
		v.set(ctx)
	case path == "/control/lag":
		v.mu.Lock()
		v.lag = time.Duration(ctx.QueryArgs().GetUintOrZero("ms")) * time.Millisecond
		v.mu.Unlock()
	case strings.HasPrefix(path, "/control/"):
		v.faults.Control(ctx)
	case v.faults.Enter(ctx):
		v.list(ctx)
	}
}

func (v *VMs) set(ctx *fasthttp.RequestCtx) {
	var line vmlist.Wire
	if err := json.Unmarshal(ctx.Request.Body(), &line); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lines[line.Instance] = append(v.lines[line.Instance], lineVersion{line: line, at: time.Now()})
}

// list answers with each line as it was before the lag.
func (v *VMs) list(ctx *fasthttp.RequestCtx) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lines := []vmlist.Wire{}
	cutoff := time.Now().Add(-v.lag)
	for _, versions := range v.lines {
		for i := len(versions) - 1; i >= 0; i-- {
			if versions[i].at.Before(cutoff) {
				lines = append(lines, versions[i].line)
				break
			}
		}
	}
	slices.SortFunc(lines, func(a, b vmlist.Wire) int { return strings.Compare(a.Instance, b.Instance) })
	writeJSON(ctx, lines)
}
