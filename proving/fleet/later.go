package fleet

import "time"

// laterDisturbances came after the first seeds were kept, and are drawn beside the others, so that those still play the same.
var laterDisturbances = []disturbance{
	{"connections to an entry silent for good", func(f *Fleet, n int, _ time.Duration) { f.peer(n).Silence() }},
	{"connections of an entry to the store silent for good", func(f *Fleet, n int, _ time.Duration) {
		f.storeRelays[f.entry(n).name].Silence()
	}},
	{"connections to a worker silent for good", func(f *Fleet, n int, _ time.Duration) {
		f.workerRelays[n%len(f.workerRelays)].Silence()
	}},
	{"all connections silent for good", func(f *Fleet, _ int, _ time.Duration) {
		for _, r := range f.relays() {
			r.Silence()
		}
	}},
	{"worker crashed and its last report late", func(f *Fleet, n int, d time.Duration) {
		stale := f.worker(n).composeHeartbeat()
		f.worker(n).Crash()
		<-time.After(d / 2)
		f.worker(n).send(stale)
	}},
}
