package table

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

type tableWire struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Rows    []byte
	History []changeWire
}

type changeWire struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Author  string
	WriteID string
	Millis  int64
	Before  []byte
	After   []byte
}

// maxValue is the maximum size of the encoded table in bytes, below the store's limit of a megabyte.
const maxValue = 1_000_000

// Encode returns the stored form of the table; the oldest edits are dropped while it exceeds maxValue.
func Encode(t Table) ([]byte, error) {
	for {
		value, err := encode(t)
		if err != nil || len(value) <= maxValue {
			return value, err
		}
		if len(t.history) == 0 {
			return nil, fault.New(fault.TooLarge, "the table takes %d bytes; the limit is %d", len(value), maxValue)
		}
		t.history = t.history[(len(t.history)+1)/2:]
	}
}

func encode(t Table) ([]byte, error) {
	wire := tableWire{Version: t.version, Rows: Format(t.rows)}
	for _, c := range t.history {
		wire.History = append(wire.History, encodeChange(c))
	}
	value, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the table cannot be encoded")
	}
	return value, nil
}

func encodeChange(c Change) changeWire {
	var before, after []Row
	for _, e := range c.edits {
		if e.before != nil {
			before = append(before, *e.before)
		}
		if e.after != nil {
			after = append(after, *e.after)
		}
	}
	return changeWire{
		Version: c.version, Author: c.author, WriteID: c.writeID, Millis: c.at.UnixMilli(),
		Before: Format(before), After: Format(after),
	}
}

// Decode returns the table of a stored value; an empty value is the empty table.
func Decode(value []byte) (Table, error) {
	if len(value) == 0 {
		return Table{}, nil
	}
	var wire tableWire
	if err := cbor.Unmarshal(value, &wire); err != nil {
		return Table{}, fault.Wrap(err, fault.Internal, "the stored table cannot be read")
	}
	rows, err := Parse(wire.Rows)
	if err != nil {
		return Table{}, fault.Wrap(err, fault.Internal, "the stored rows cannot be read")
	}
	t := Table{version: wire.Version, rows: sorted(rows)}
	for _, w := range wire.History {
		c, err := decodeChange(w)
		if err != nil {
			return Table{}, err
		}
		t.history = append(t.history, c)
	}
	return t, nil
}

func decodeChange(w changeWire) (Change, error) {
	before, err := Parse(w.Before)
	if err != nil {
		return Change{}, fault.Wrap(err, fault.Internal, "the stored history cannot be read")
	}
	after, err := Parse(w.After)
	if err != nil {
		return Change{}, fault.Wrap(err, fault.Internal, "the stored history cannot be read")
	}
	return Change{
		version: w.Version, author: w.Author, writeID: w.WriteID, at: time.UnixMilli(w.Millis),
		edits: Diff(rowMap(before), after),
	}, nil
}
