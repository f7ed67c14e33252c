package fleet

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestAtTheEndOfADrainIsAnsweredByTheNextLeader guards against an entry that no longer follows the leader while it still waits for the answers
// to its last requests, which need the next leader.
func TestRequestAtTheEndOfADrainIsAnsweredByTheNextLeader(t *testing.T) {
	t.Parallel()
	const (
		// The request is sent when the leader is killed, and the other entry, cut from the store until then, leads after the drain.
		killed, cutUntil = entryDrain - 2*drainMargin, entryDrain - drainMargin
		deadline         = 1900 * time.Millisecond
	)
	f, err := New(Size{Entries: 3, Agents: 1}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	stopping := f.entries[0]
	stoppedAt := time.Now()
	stopping.remove(syscall.SIGTERM)
	assert.NilError(t, f.await(entryDrain/2, func() bool { leader := f.leader(); return leader != nil && leader != stopping }))
	leader, next := f.leader(), f.entries[1]
	if next == leader {
		next = f.entries[2]
	}
	store := f.storeRelays[next.name]
	store.Refuse()
	<-time.After(time.Until(stoppedAt.Add(killed)))
	leader.remove(syscall.SIGKILL)
	time.AfterFunc(time.Until(stoppedAt.Add(cutUntil)), func() { assert.Check(t, store.Reopen()) })
	status, err := requestCount(&http.Client{Timeout: 2 * callerTimeout}, stopping, deadline)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, time.Since(stoppedAt) > entryDrain, "the request was answered before the end of the drain")
}
