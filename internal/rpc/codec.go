package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// MaxMessage is the size in bytes of the largest message that is read from a connection.
const MaxMessage = 2 << 20

// boundedCodec frames messages like the library's varint codec and rejects messages larger than MaxMessage.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MaxMessage {
		return fault.New(fault.TooLarge, "a message of %d bytes is over the limit of %d", size, MaxMessage)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}

// envelope is a message body with the sender's logical clock.
type envelope struct {
	Clock uint64          `json:"c,omitempty"`
	Body  json.RawMessage `json:"b"`
}

// errorData is the data of a JSON-RPC error besides its message.
type errorData struct {
	RetryAfterMillis int64 `json:"retry_after_ms"`
}
