package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/dispatch"
	"github.com/saffronpulley/saffronpulley/internal/fault"
)

const validSettings = `
id: side-1
role: agent
address: 10.1.0.14
hall: hall-a
strength: 0.24
memory_mb: 152
ports: { peers: 7720, metrics: 7721 }
listen: { callers: "", ready: "", reports: "10.1.0.14:8166" }
neighbors: "10.1.0.13:8166,10.2.0.30:8166"
worker: "10.1.0.14:8165"
store: "10.200.1.7:8169"
grace_s: 6
log: info
`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.PeerAddress(), "10.1.0.14:7720")
	assert.DeepEqual(t, s.KnownEntries(), []string{"10.1.0.13:7720", "10.2.0.30:7720"})
	assert.Equal(t, s.Grace(), 6*time.Second)
	assert.Equal(t, s.ListenPeers(), s.PeerAddress())
	assert.Equal(t, s.ClosureDelay(), 5*time.Second, "the platform does not specify it")
	for text, delay := range map[string]time.Duration{"closed_ms:": 5 * time.Second, "closed_ms: 4000": 4 * time.Second} {
		s, err = Parse([]byte(validSettings + text + "\n"))
		assert.NilError(t, err)
		assert.Equal(t, s.ClosureDelay(), delay)
	}
	s, err = Parse([]byte(strings.Replace(validSettings, "listen: {", "listen: { peers: \"10.1.0.14:7730\",", 1)))
	assert.NilError(t, err)
	assert.Equal(t, s.ListenPeers(), "10.1.0.14:7730")
	assert.Equal(t, s.PeerAddress(), "10.1.0.14:7720")
}

// TestSchedulingFeaturesAreOffByDefault guards against a feature that a deployment gets without asking for it.
func TestSchedulingFeaturesAreOffByDefault(t *testing.T) {
	for text, features := range map[string]dispatch.Features{
		"":               {},
		"scheduling:":    {},
		"scheduling: {}": {},
		"scheduling: { worker_health: true, run_times: false }":                     {WorkerHealth: true},
		"scheduling: { worker_health: true, run_times: true, short_reserve: true }": {WorkerHealth: true, RunTimes: true, ShortReserve: true},
	} {
		s, err := Parse([]byte(validSettings + text + "\n"))
		assert.NilError(t, err)
		assert.DeepEqual(t, s.Features(), features)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for change, message := range map[string]string{
		"id: side-1>id: ''":                                     "id is missing",
		"role: agent>role: cook":                                "role is \"cook\"",
		"strength: 0.24>strength: 0":                            "strength is 0",
		"memory_mb: 152>memory_mb: 3":                           "memory_mb is 3",
		"memory_mb: 152>memory_mb: 152\ndescriptors: 9":         "descriptors is 9",
		"address: 10.1.0.14>address: here":                      "address is \"here\"",
		"peers: 7720>peers: 70000":                              "ports.peers is 70000",
		"worker: \"10.1.0.14:8165\">worker: ''":                 "worker is \"\"",
		"store: \"10.200.1.7:8169\">store: somewhere":           "store is \"somewhere\"",
		"grace_s: 6>grace_s: 0":                                 "grace_s is 0",
		"listen: {>listen: { peers: there,":                     "listen.peers is \"there\"",
		"grace_s: 6>grace_s: 6\nclosed_ms: -1":                  "closed_ms is -1",
		"grace_s: 6>grace_s: 6\nlongest_hold_ms: -1":            "longest_hold_ms is -1",
		"log: info>log: info\nfuture: 1":                        "cannot be parsed",
		"strength: 0.24>strength: much":                         "cannot be parsed",
		"log: info>log: info\nscheduling: { run_times: often }": "cannot be parsed",
		"log: info>log: info\nscheduling: { later: true }":      "cannot be parsed",
		"reports: \"10.1.0.14:8166\">reports: \"8166\"":         "listen.reports is \"8166\"",
	} {
		from, to, _ := strings.Cut(change, ">")
		assert.Assert(t, strings.Contains(validSettings, from), from)
		_, err := Parse([]byte(strings.Replace(validSettings, from, to, 1)))
		assert.ErrorContains(t, err, message)
		assert.Assert(t, fault.Is(err, fault.BadInput))
	}
	_, err := Load("")
	assert.ErrorContains(t, err, SettingsVariable)
}
