package vmlist

import (
	"bytes"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// nesting follows how deeply the bytes of a JSON document are nested.
type nesting struct {
	depth           int
	quoted, escaped bool
}

// next moves on by one byte and reports whether that is outside of texts.
func (n *nesting) next(c byte) bool {
	switch {
	case n.escaped:
		n.escaped = false
		return false
	case n.quoted:
		n.escaped, n.quoted = c == '\\', c != '"'
		return false
	}
	switch c {
	case '"':
		n.quoted = true
	case '[', '{':
		n.depth++
	case ']', '}':
		n.depth--
	}
	return true
}

// splitArray returns the elements of a JSON array, without decoding them: a decoder refuses a whole document for one element that is nested too deeply.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		return nil, fault.New(fault.Internal, "the list of VMs is not an array of JSON")
	}
	var elements [][]byte
	n, start := nesting{}, 1
	for i, c := range data {
		switch outside := n.next(c); {
		case outside && n.depth == 0:
			return appendLast(elements, data[start:i]), nil
		case outside && n.depth == 1 && c == ',':
			elements, start = append(elements, data[start:i]), i+1
		}
	}
	return nil, fault.New(fault.Internal, "the list of VMs has no end")
}

// appendLast appends the last element of an array, unless the array is empty.
func appendLast(elements [][]byte, last []byte) [][]byte {
	if len(elements) == 0 && len(bytes.TrimSpace(last)) == 0 {
		return nil
	}
	return append(elements, last)
}
