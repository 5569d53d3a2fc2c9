package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"cressknot/internal/fleet"
)

// Start starts an instance and replaces one with the same ID.
type Start struct {
	Seed    uint64
	Options []byte // settings in JSON, for ParseSite
}

// ItemKind is the kind of an Item.
type ItemKind uint8

// The kinds of items.
const (
	ItemStart ItemKind = iota // starts an instance
	ItemStop                  // stops an instance immediately
	ItemEvent                 // carries an event for an instance
)

// Item is one record that is addressed to an instance.
type Item struct {
	Controller fleet.ControllerID
	Kind       ItemKind
	Start      *Start      // set for ItemStart only
	Event      fleet.Event // set for ItemEvent only
}

// Batch is one frame of input. Its endpoint list events contain the registered lists that they refer to.
type Batch struct {
	Now   fleet.Time
	Items []Item
}

// Reader reads batches. It stores the registered endpoint lists, which all instances share. It is not safe for
// concurrent use.
type Reader struct {
	in     io.Reader
	offset int64 // of the current frame in the input
	frame  []byte
	lists  [registeredListCount]registeredList
	items  []Item
}

// registeredList is an endpoint list that later records refer to by its number.
type registeredList struct {
	known     bool
	endpoints []fleet.Endpoint
}

// NewReader returns a reader of the frames of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads a batch, whose items are valid until the next call. It returns io.EOF when the input ends between two
// frames. Other errors begin with the offset of the byte where the input is wrong.
func (r *Reader) Next() (Batch, error) {
	if err := r.readFrame(); err != nil {
		return Batch{}, err
	}
	batch, err := r.decode()
	if err != nil {
		return Batch{}, err
	}
	r.offset += int64(len(r.frame))
	return batch, nil
}

// readFrame reads a frame into r.frame.
func (r *Reader) readFrame() error {
	var length [lengthBytes]byte
	if n, err := io.ReadFull(r.in, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("byte %d: input ends after %d of %d bytes of the frame length: %w", r.offset, n, lengthBytes, err)
	}
	size := binary.LittleEndian.Uint32(length[:])
	if size < batchHeaderBytes || size > maxFrameBytes {
		return fmt.Errorf("byte %d: frame length of %d bytes is not between %d and %d",
			r.offset, size, batchHeaderBytes, maxFrameBytes)
	}
	if cap(r.frame) < int(size) {
		r.frame = make([]byte, size)
	}
	r.frame = r.frame[:size]
	copy(r.frame, length[:])
	if n, err := io.ReadFull(r.in, r.frame[lengthBytes:]); err != nil {
		return fmt.Errorf("byte %d: input ends after %d of %d bytes of the frame: %w", r.offset, n+lengthBytes, size, err)
	}
	return nil
}

// decode reads the records of the frame.
func (r *Reader) decode() (Batch, error) {
	c := cursor{data: r.frame, position: lengthBytes, base: r.offset}
	batch := Batch{Now: c.milliseconds("clock")}
	records := c.uint32("record count")
	if c.err == nil && uint64(records)*recordHeaderBytes > uint64(c.remaining()) {
		c.fail("record count %d needs at least %d bytes, %d remain",
			records, uint64(records)*recordHeaderBytes, c.remaining())
	}
	clear(r.items) // drops references to objects of the previous batch
	r.items = r.items[:0]
	for n := uint32(0); n < records && c.err == nil; n++ {
		r.decodeRecord(&c)
	}
	if c.err == nil && c.remaining() > 0 {
		c.fail("%d unexpected bytes after the last record", c.remaining())
	}
	batch.Items = r.items
	return batch, c.err
}

// decodeRecord reads a record and moves the cursor to its end.
func (r *Reader) decodeRecord(c *cursor) {
	start := c.position
	code := c.uint16("event code")
	size := c.uint32("record length")
	if c.err != nil {
		return
	}
	if int64(size) > int64(c.remaining()) {
		c.fail("record of code %d: need %d bytes, %d remain", code, size, c.remaining())
		return
	}
	end := c.position + int(size)
	fields := cursor{data: c.data[:end], position: c.position, base: c.base}
	if code == codeRegisterList {
		r.registerList(&fields)
	} else {
		r.decodeItem(code, &fields, start)
	}
	if fields.err == nil && fields.remaining() > 0 {
		fields.fail("record of code %d: %d unexpected bytes after the last field", code, fields.remaining())
	}
	c.position = end
	c.err = fields.err
}

// decodeItem reads the fields of a record that is addressed to an instance, and adds the item. start is the position of
// the record, for errors.
func (r *Reader) decodeItem(code uint16, c *cursor, start int) {
	item := Item{Controller: fleet.ControllerID(c.uint16("governor")), Kind: ItemEvent}
	switch code {
	case codeStart:
		item.Kind = ItemStart
		item.Start = decodeStart(c)
	case codeStop:
		item.Kind = ItemStop
	case codeEndpointList:
		item.Event = r.decodeEndpointList(c)
	default:
		item.Event = decodeEvent(code, c)
		if item.Event == nil {
			c.position = start
			c.fail("unknown event code %d", code)
		}
	}
	if c.err == nil {
		r.items = append(r.items, item)
	}
}

func decodeStart(c *cursor) *Start {
	start := &Start{Seed: c.uint64("randomSeed")}
	start.Options = c.bytes(c.count("options", 1))
	return start
}
