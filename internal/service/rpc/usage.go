package rpc

import (
	"encoding/binary"
	"slices"
)

const (
	// streamCost is the memory of an open stream, in bytes, without its fields and messages: its state, and the
	// goroutine that handles it.
	streamCost = 4 << 10
	// fieldExpansion is the largest ratio of the memory of header fields to their size on the wire: a field that
	// repeats an earlier one takes one byte there.
	fieldExpansion = 64
	// maxFieldsCost is the memory of the fields of one request at maxHeaderListSize.
	maxFieldsCost = 32 << 10
	// frameCost is the memory of a part of a message, in bytes, in addition to its payload.
	frameCost = 512
	// completeExpansion is the ratio of the memory of a complete message, which is decoded, to its size on the wire.
	completeExpansion = 4
	// messagePrefixLength is the length of the prefix of a gRPC message: a flag and the length of the message.
	messagePrefixLength = 5
)

// streamUsage is what a stream holds in memory.
type streamUsage struct {
	fieldBytes   int // on the wire
	messageBytes int // received bytes of the latest message, with the cost of their frames
	messageLeft  int // bytes of it that are to come
	sentBytes    int // of messages to the client, with their prefixes
	prefix       [messagePrefixLength]byte
	prefixFilled int
}

func (s *streamUsage) cost() int64 {
	message := s.messageBytes
	if s.messageLeft == 0 {
		message *= completeExpansion
	}
	return int64(streamCost + min(maxFieldsCost, s.fieldBytes*fieldExpansion) + message)
}

// receive adds bytes of messages.
func (s *streamUsage) receive(data []byte) {
	defer func() { s.messageBytes += frameCost }()
	for len(data) > 0 {
		if s.messageLeft > 0 {
			n := min(s.messageLeft, len(data))
			s.messageLeft -= n
			s.messageBytes += n
			data = data[n:]
			continue
		}
		n := copy(s.prefix[s.prefixFilled:], data)
		s.prefixFilled += n
		data = data[n:]
		if s.prefixFilled == messagePrefixLength {
			s.prefixFilled = 0
			s.messageBytes = 0
			s.messageLeft = int(binary.BigEndian.Uint32(s.prefix[1:]))
		}
	}
}

// usage computes what an HTTP/2 connection holds in memory: open streams, received parts of requests, and answers that
// are not written yet. It is not safe for concurrent use.
type usage struct {
	received     frameScanner
	sent         frameScanner
	streams      map[uint32]*streamUsage
	lastStream   uint32
	streamsBytes int64
	unsent       []int64 // sizes of answers that are not sent yet, in ascending order
	unsentBytes  int64   // their sum
	completed    bool    // a stream was answered since the last call of takeCompleted
}

func newUsage() *usage {
	return &usage{streams: map[uint32]*streamUsage{}, received: frameScanner{skip: clientPrefaceLength}}
}

// bytes returns what the connection holds.
func (u *usage) bytes() int64 { return u.streamsBytes + u.unsentBytes }

// receive handles bytes from the client.
func (u *usage) receive(data []byte) {
	u.received.scan(data, u.frameReceived, func(header frameHeader, payload []byte) {
		if header.kind != frameData {
			return
		}
		u.update(header.stream, func(stream *streamUsage) { stream.receive(payload) })
	})
}

func (u *usage) frameReceived(header frameHeader) {
	switch header.kind {
	case frameHeaders:
		if header.stream > u.lastStream {
			u.lastStream = header.stream
			u.streams[header.stream] = &streamUsage{}
			u.streamsBytes += u.streams[header.stream].cost()
		}
		u.addFields(header)
	case frameContinuation:
		u.addFields(header)
	case frameRSTStream:
		u.closeStream(header.stream)
	}
}

func (u *usage) addFields(header frameHeader) {
	u.update(header.stream, func(stream *streamUsage) { stream.fieldBytes += header.length })
}

// update changes the usage of an open stream.
func (u *usage) update(id uint32, change func(*streamUsage)) {
	stream := u.streams[id]
	if stream == nil {
		return
	}
	u.streamsBytes -= stream.cost()
	change(stream)
	u.streamsBytes += stream.cost()
}

// send handles bytes to the client.
func (u *usage) send(data []byte) {
	u.sent.scan(data, u.frameSent, func(header frameHeader, payload []byte) {
		if stream := u.streams[header.stream]; stream != nil && header.kind == frameData {
			stream.sentBytes += len(payload)
		}
	})
}

func (u *usage) frameSent(header frameHeader) {
	if header.endsStream() {
		u.completed = true
		if stream := u.streams[header.stream]; stream != nil {
			u.removeAnswer(int64(stream.sentBytes - messagePrefixLength))
		}
	}
	if header.endsStream() || header.kind == frameRSTStream {
		u.closeStream(header.stream)
	}
}

// answer adds the answer of a call, which is to be sent.
func (u *usage) answer(size int64) {
	index, _ := slices.BinarySearch(u.unsent, size)
	u.unsent = slices.Insert(u.unsent, index, size)
	u.unsentBytes += size
}

// removeAnswer removes an answer of this size, if there is one.
func (u *usage) removeAnswer(size int64) {
	if index, found := slices.BinarySearch(u.unsent, size); found {
		u.unsent = slices.Delete(u.unsent, index, index+1)
		u.unsentBytes -= size
	}
}

// closeStream removes a stream. The answers of streams that were reset are never sent; as each open stream has one at
// most, the smallest answers in excess of the streams are taken to be those.
func (u *usage) closeStream(id uint32) {
	stream := u.streams[id]
	if stream == nil {
		return
	}
	u.streamsBytes -= stream.cost()
	delete(u.streams, id)
	for len(u.unsent) > len(u.streams) {
		u.removeAnswer(u.unsent[0])
	}
}

// takeCompleted reports whether a stream was answered since its last call.
func (u *usage) takeCompleted() bool {
	completed := u.completed
	u.completed = false
	return completed
}
