package link

import "unicode/utf8"

// maxCheckpointBytes is how many encoded bytes of checkpoints the ended runs of a report have at most, and its running runs: a report of both must be
// below the limit of a message.
const maxCheckpointBytes = 512 << 10

// CheckpointBudget bounds the checkpoints in a message, whose number and length the platform doesn't bound.
type CheckpointBudget struct{ left int }

// NewCheckpointBudget returns the budget of one message.
func NewCheckpointBudget() *CheckpointBudget { return &CheckpointBudget{left: maxCheckpointBytes} }

// Take reports whether a checkpoint still fits, and deducts it from the budget if it does.
func (b *CheckpointBudget) Take(checkpoint string) bool {
	size := encodedBytes(checkpoint)
	if size > b.left {
		return false
	}
	b.left -= size
	return true
}

// TooLong reports whether a checkpoint fits into no message.
func TooLong(checkpoint string) bool { return encodedBytes(checkpoint) > maxCheckpointBytes }

// encodedBytes returns the most bytes that a text takes in JSON.
func encodedBytes(text string) int {
	const escaped, quoted = 6, 2
	size := 0
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c == '<' || c == '>' || c == '&':
			size += escaped
		case c == '"' || c == '\\' || c >= utf8.RuneSelf:
			size += quoted
		default:
			size++
		}
	}
	return size
}
