package control

// Paths of the requests between entries and agents, and between entries.
const (
	PathRequest = "/request"
	PathSettle  = "/settle"
	PathSeal    = "/seal"
	PathKeyed   = "/keyed"
	PathPing    = "/ping"
	PathHand    = "/hand"
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

// SettleAnswer says what an agent knows of a request whose answer was lost.
type SettleAnswer struct {
	// Ran is "no" if the agent did not and will not run the request, "unknown" if it may have.
	Ran string `json:"ran"`
}

// Hand gives the keys of slots to the next owner.
type Hand struct {
	Slots []HandSlot `json:"slots"`
}

// HandSlot is the keys of one slot.
type HandSlot struct {
	Slot int       `json:"slot"`
	Keys []HandKey `json:"keys"`
}

// HandKey is a key that ran, with its answer if that is kept.
type HandKey struct {
	Key         string `json:"key"`
	Kept        bool   `json:"kept"`
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
	// Fresh says that no earlier start of the agent served on the VM, as far as its worker knows.
	Fresh bool     `json:"fresh"`
	Keys  []string `json:"keys"`
}
