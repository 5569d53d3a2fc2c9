package rpc

import "encoding/binary"

// Sizes and types of HTTP/2 frames, RFC 9113 sections 3.4, 4.1 and 6.
const (
	clientPrefaceLength = 24
	frameHeaderLength   = 9

	frameData         = 0x0
	frameHeaders      = 0x1
	frameRSTStream    = 0x3
	frameContinuation = 0x9

	flagEndStream = 0x1
)

// frameHeader is the header of an HTTP/2 frame.
type frameHeader struct {
	length int
	kind   byte
	flags  byte
	stream uint32
}

func (h *frameHeader) endsStream() bool {
	return h.flags&flagEndStream != 0 && (h.kind == frameData || h.kind == frameHeaders)
}

// frameScanner finds the frames in one direction of an HTTP/2 connection, whose bytes may be split anywhere. It does
// not check them: the library that serves the connection does.
type frameScanner struct {
	skip    int // bytes before the next frame header
	header  [frameHeaderLength]byte
	filled  int // bytes of header
	current frameHeader
	left    int // bytes of the payload of current that are to come
}

// scan reads the next bytes. It calls begin for each frame whose header is complete, and payload for each part of its
// payload.
func (s *frameScanner) scan(data []byte, begin func(frameHeader), payload func(frameHeader, []byte)) {
	for len(data) > 0 {
		switch {
		case s.skip > 0:
			n := min(s.skip, len(data))
			s.skip -= n
			data = data[n:]
		case s.left > 0:
			n := min(s.left, len(data))
			payload(s.current, data[:n])
			s.left -= n
			data = data[n:]
		default:
			n := copy(s.header[s.filled:], data)
			s.filled += n
			data = data[n:]
			if s.filled == frameHeaderLength {
				s.beginFrame(begin)
			}
		}
	}
}

func (s *frameScanner) beginFrame(begin func(frameHeader)) {
	s.filled = 0
	s.current = frameHeader{
		length: int(s.header[0])<<16 | int(s.header[1])<<8 | int(s.header[2]),
		kind:   s.header[3],
		flags:  s.header[4],
		stream: binary.BigEndian.Uint32(s.header[5:]) &^ (1 << 31),
	}
	s.left = s.current.length
	begin(s.current)
}

// betweenFrames reports whether the next byte begins a frame.
func (s *frameScanner) betweenFrames() bool { return s.skip == 0 && s.left == 0 && s.filled == 0 }
