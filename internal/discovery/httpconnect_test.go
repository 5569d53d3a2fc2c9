package discovery

import (
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/testing/await"
	"cressknot/internal/testing/fakes"
)

// Guards against a drain that is missed after a cut of the network to the list service: a poll that began in the cut
// must not outlast it by the system's retransmission of SYN packets.
func TestHTTPSourceGivesUpConnectingInTime(t *testing.T) {
	silent, err := fakes.NewSilentListener()
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	source := &HTTPSource{URL: "http://" + silent.Addr + "/", Wait: 20 * fleet.Second, OnRequest: true}
	updates := startSource(t, source)
	began := time.Now()
	source.Watch(true)
	update := await.Receive(t, updates)
	took := time.Since(began)
	const limit = time.Duration(reconcile.ConnectTimeout) + 3*time.Second // the machine may be busy
	if update.Scope != fleet.ListFailed || took > limit {
		t.Errorf("%+v after %v, want a failure within %v", update, took, limit)
	}
}
