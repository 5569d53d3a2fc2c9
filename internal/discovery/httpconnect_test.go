package discovery

import (
	"net"
	"syscall"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// silentAddr returns an address at which connections do not come up: nothing accepts them, and the queue of the
// listener is full, so that the system drops further ones.
func silentAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	for range 16 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return listener.Addr().String()
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener does not fill")
	return ""
}

// Guards against a drain that is missed after a cut of the network to the list service: a poll that began in the cut
// must not outlast it by the system's retransmission of SYN packets.
func TestHTTPSourceGivesUpConnectingInTime(t *testing.T) {
	source := &HTTPSource{URL: "http://" + silentAddr(t) + "/", Wait: 20 * fleet.Second, OnRequest: true}
	updates := startSource(t, source)
	began := time.Now()
	source.Watch(true)
	update := receive(t, updates)
	took := time.Since(began)
	const limit = time.Duration(reconcile.ConnectTimeout) + 3*time.Second // the machine may be busy
	if update.Scope != fleet.ListFailed || took > limit {
		t.Errorf("%+v after %v, want a failure within %v", update, took, limit)
	}
}
