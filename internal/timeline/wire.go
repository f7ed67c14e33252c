package timeline

// WireEvent is the wire format of an event, between processes and for programs.
type WireEvent struct {
	Stamp   uint64 `json:"stamp"`
	Millis  int64  `json:"unix_ms"`
	Process string `json:"process"`
	Kind    string `json:"kind"`
	Task    string `json:"task,omitempty"`
	Worker  string `json:"worker,omitempty"`
	Request string `json:"request,omitempty"`
	Text    string `json:"text,omitempty"`
}

// Encode returns the wire format of events.
func Encode(events []Event) []WireEvent {
	wires := make([]WireEvent, 0, len(events))
	for _, e := range events {
		wires = append(wires, WireEvent{
			Stamp: uint64(e.stamp), Millis: e.stamp.Millis(), Process: e.process, Kind: e.kind.String(),
			Task: e.task, Worker: e.worker, Request: e.request, Text: e.text,
		})
	}
	return wires
}

// Decode returns the events of the wire format; an unknown kind becomes ProcessStarted.
func Decode(wires []WireEvent) []Event {
	events := make([]Event, 0, len(wires))
	for _, w := range wires {
		events = append(events, NewEvent(Stamp(w.Stamp), w.Process, parseKind(w.Kind), w.Task, w.Worker, w.Request, w.Text))
	}
	return events
}

func parseKind(name string) Kind {
	for k := ProcessStarted; k < kindCount; k++ {
		if k.String() == name {
			return k
		}
	}
	return ProcessStarted
}
