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

// Headers of requests between the system's own processes and of their answers.
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

// OutcomeAnswer reports the outcome of a request whose answer was lost.
type OutcomeAnswer struct {
	// Ran is "no" if the agent did not and will not run the request, "unknown" if it may have run it.
	Ran string `json:"ran"`
}

// Handover transfers the keys of slots to their next owner.
type Handover struct {
	Slots []HandoverSlot `json:"slots"`
}

// HandoverSlot holds the keys of one slot.
type HandoverSlot struct {
	Slot int           `json:"slot"`
	Keys []HandoverKey `json:"keys"`
}

// HandoverKey is a key whose request ran, with the answer if it is still kept.
type HandoverKey struct {
	Key         string `json:"key"`
	HasAnswer   bool   `json:"kept"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Seal asks an agent to refuse requests of slots under older epochs, and to return the keys of these slots that it has run.
type Seal struct {
	Slots  []int    `json:"slots"`
	Epochs []uint64 `json:"epochs"`
}

// SealAnswer returns the keys that an agent has run and, in UptimeMillis, for how long it has recorded them.
type SealAnswer struct {
	Boot         string `json:"boot"`
	UptimeMillis int64  `json:"uptime_ms"`
	// NoEarlierStart reports whether no earlier incarnation of the agent has served on the VM, according to its worker.
	NoEarlierStart bool     `json:"fresh"`
	Keys           []string `json:"keys"`
}
