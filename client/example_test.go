package client_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cressknot/client"
	"cressknot/client/rpc"
)

// A program that books slots over gRPC. The client watches the tables of its zone, picks servers, retries where that is
// safe, and reports outcomes. Package runtime does the same over the text protocol.
func Example() {
	c, err := rpc.New(client.Config{
		Name:        "desk-7",
		Zone:        "howrah",
		Controllers: []string{"127.0.0.1:9001", "127.0.0.1:9002"},
		Staleness:   10 * time.Minute,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := c.Ready(ctx); err != nil { // no table was received within 10 s
		fmt.Println(err)
		return
	}
	book, err := c.Class("slot-book")
	if err != nil {
		fmt.Println(err)
		return
	}
	err = c.Do(ctx, book, func(ctx context.Context, attempt client.Attempt) client.Result {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Server.Addr+"/book", nil)
		if err != nil {
			return client.Result{Outcome: client.NotExecuted, Err: err}
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return client.Result{Outcome: client.Failed, Err: err} // the request may have been executed
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode != http.StatusOK {
			return client.Result{Outcome: client.Failed, Err: fmt.Errorf("%s", res.Status)}
		}
		return client.Result{}
	})
	fmt.Println(err)
}
