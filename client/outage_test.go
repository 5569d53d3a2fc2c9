package client_test

import (
	"context"
	"testing"
	"time"

	"cressknot/client"
	"cressknot/client/rpc"
	"cressknot/client/runtime"
	"cressknot/internal/service"
	"cressknot/internal/testing/fakes"
)

// Guards against a client that goes on with an old table after an outage: an attempt to connect that began in a cut of
// the network must not outlast it by the system's retransmission of SYN packets.
func TestConnectingToASilentControllerEndsInTime(t *testing.T) {
	silent, err := fakes.NewSilentListener()
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for name, transport := range map[string]client.Transport{"grpc": rpc.Transport{}, "text": runtime.Transport{}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			began := time.Now()
			conn, err := transport.Dial(ctx, silent.Addr, "caller")
			if err == nil {
				_, err = conn.Greet(ctx, service.Hello{Major: service.Major, Name: "caller"})
				_ = conn.Close()
			}
			took := time.Since(began)
			if limit := service.ClientDialTimeout + 3*time.Second; err == nil || took > limit { // the machine may be busy
				t.Errorf("error %v after %v, want one within %v", err, took, limit)
			}
		})
	}
}
