package hostile

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// initialWindow is the number of bytes that may be sent on a stream, and on a connection, before the receiver allows
// more; RFC 9113, section 6.9.2.
const initialWindow = 65535

// HTTP2Client is a client that writes single HTTP/2 frames, sound or not. It answers no ping and lets the server send
// no more than initialWindow bytes. One goroutine may write.
type HTTP2Client struct {
	Framer *http2.Framer
	conn   net.Conn
	block  bytes.Buffer
	fields *hpack.Encoder

	reading sync.WaitGroup
	mu      sync.Mutex
	changed sync.Cond      // the fields below have changed
	windows map[uint32]int // bytes that may be sent, by stream; stream 0 is the connection
	ended   map[uint32]bool
	closed  bool
	goAway  string // debug data of the last GOAWAY frame
}

// DialHTTP2 connects to a server and sends the preface. The server's frames are read and dropped, except that the text
// of a GOAWAY frame is kept.
func DialHTTP2(t *testing.T, addr string) *HTTP2Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := &HTTP2Client{conn: conn, Framer: http2.NewFramer(conn, conn)}
	c.fields = hpack.NewEncoder(&c.block)
	c.changed.L = &c.mu
	c.windows = map[uint32]int{0: initialWindow}
	c.ended = map[uint32]bool{}
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	if err := c.Framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	c.reading.Go(c.readFrames)
	t.Cleanup(c.Close)
	return c
}

func (c *HTTP2Client) readFrames() {
	for {
		frame, err := c.Framer.ReadFrame()
		c.mu.Lock()
		switch frame := frame.(type) {
		case *http2.GoAwayFrame:
			c.goAway = string(frame.DebugData())
		case *http2.WindowUpdateFrame:
			c.windows[frame.StreamID] += int(frame.Increment)
		case *http2.RSTStreamFrame:
			c.ended[frame.StreamID] = true
		case *http2.HeadersFrame:
			c.ended[frame.StreamID] = c.ended[frame.StreamID] || frame.StreamEnded()
		}
		c.closed = err != nil
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// WaitEnded waits until the server has ended a stream, and reports whether it did before the timeout.
func (c *HTTP2Client) WaitEnded(stream uint32, timeout time.Duration) bool {
	expired := time.AfterFunc(timeout, c.changed.Broadcast)
	defer expired.Stop()
	deadline := time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended[stream] && !c.closed && time.Now().Before(deadline) {
		c.changed.Wait()
	}
	return c.ended[stream] || c.closed
}

// WriteData sends data on a stream as soon as the server allows it. It fails if the server ends the stream first.
func (c *HTTP2Client) WriteData(stream uint32, data []byte) error {
	c.mu.Lock()
	for min(c.windows[0], c.windows[stream]) < len(data) && !c.closed && !c.ended[stream] {
		c.changed.Wait()
	}
	sendable := !c.closed && !c.ended[stream]
	c.windows[0] -= len(data)
	c.windows[stream] -= len(data)
	c.mu.Unlock()
	if !sendable {
		return net.ErrClosed
	}
	return c.Framer.WriteData(stream, false, data)
}

// Close closes the connection and waits until no frame is read any more.
func (c *HTTP2Client) Close() {
	_ = c.conn.Close()
	c.reading.Wait()
}

// Ended waits until the server has closed the connection, and returns the text of its last GOAWAY frame.
func (c *HTTP2Client) Ended() string {
	c.reading.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goAway
}

// CallFields returns the encoded header fields of a gRPC call of a method, such as "/package.Service/Method".
func (c *HTTP2Client) CallFields(method string) []byte {
	c.block.Reset()
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "x"},
		{"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		_ = c.fields.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // to a buffer
	}
	return bytes.Clone(c.block.Bytes())
}

// BeginCall sends the header fields of a call.
func (c *HTTP2Client) BeginCall(stream uint32, method string) error {
	c.mu.Lock()
	c.windows[stream] = initialWindow
	c.mu.Unlock()
	return c.Framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream,
		BlockFragment: c.CallFields(method),
		EndHeaders:    true,
	})
}
