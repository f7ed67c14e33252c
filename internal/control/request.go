package control

// Paths of the requests between entries and agents, and between entries.
const (
	PathRequest  = "/request"
	PathOutcome  = "/settle"
	PathSeal     = "/seal"
	PathKeyed    = "/keyed"
	PathPing     = "/ping"
	PathHandover = "/hand"
)

// Headers of a request between the system's own processes and of its answer.
const (
	HeaderSecret     = "Sp-Secret"
	HeaderExchange   = "Sp-Exchange"
	HeaderService    = "Sp-Service"
	HeaderDeadline   = "Sp-Deadline-Ms"
	HeaderOnce       = "Sp-Once"
	HeaderKey        = "Sp-Key"
	HeaderSlot       = "Sp-Slot"
	HeaderEpoch      = "Sp-Epoch"
	HeaderBoot       = "Sp-Boot"
	HeaderDigest     = "Sp-Digest"
	HeaderKind       = "Sp-Kind"
	HeaderRetryAfter = "Sp-Retry-After-Ms"
	HeaderLoad       = "Sp-Load"
	HeaderLeaving    = "Sp-Leaving"
	HeaderClock      = "Sp-Clock"
	HeaderMoving     = "Sp-Moving"
)

// OutcomeAnswer says what an agent knows of a request whose answer was lost.
type OutcomeAnswer struct {
	// Ran is "no" if the agent did not and will not run the request, "unknown" if it may have.
	Ran string `json:"ran"`
}

// Handover gives the keys of slots to the next owner.
type Handover struct {
	Slots []HandoverSlot `json:"slots"`
}

// HandoverSlot is the keys of one slot.
type HandoverSlot struct {
	Slot int           `json:"slot"`
	Keys []HandoverKey `json:"keys"`
}

// HandoverKey is a key that ran, with its answer if that is kept.
type HandoverKey struct {
	Key         string `json:"key"`
	HasAnswer   bool   `json:"kept"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Seal asks an agent to refuse requests of the slots under older epochs, and for the keys of them that it has run.
type Seal struct {
	Slots  []int    `json:"slots"`
	Epochs []uint64 `json:"epochs"`
}

// SealAnswer says which keys an agent has run, and for how long it remembers.
type SealAnswer struct {
	Boot         string `json:"boot"`
	UptimeMillis int64  `json:"uptime_ms"`
	// NoEarlierStart says that no earlier start of the agent served on the VM, as far as its worker knows.
	NoEarlierStart bool     `json:"fresh"`
	Keys           []string `json:"keys"`
}
