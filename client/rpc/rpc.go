// Package rpc connects the client library to controllers over gRPC.
package rpc

import (
	"context"
	"errors"
	"io"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cressknot/client"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc"
	"cressknot/internal/service/rpc/pb"
	"cressknot/internal/tableversion"
)

// New returns a client that connects to controllers over gRPC without transport security. Config.Controllers are
// host:port. For credentials or other options, pass a Transport to client.New.
func New(cfg client.Config) (*client.Client, error) { return client.New(cfg, Transport{}) }

// Transport connects over gRPC. The zero value is ready to use.
type Transport struct {
	Options []grpc.DialOption // applied after the built-in options, for example transport credentials
}

var _ client.Transport = Transport{}

// conn is a connection to one controller.
type conn struct {
	grpc    *grpc.ClientConn
	service pb.GovernorClient
	caller  string
}

// Dial prepares a connection to host:port. gRPC connects on the first call, so an unreachable controller is reported
// only then.
func (t Transport) Dial(_ context.Context, addr, caller string) (client.Conn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(service.MaxAnswerSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    service.PingInterval,
			Timeout: service.PingTimeout,
		}),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(dial),
	}
	options = append(options, t.Options...)
	grpcConn, err := grpc.NewClient("passthrough:///"+addr, options...)
	if err != nil {
		return nil, &service.Error{Code: service.Unreachable, Text: err.Error()}
	}
	return &conn{grpc: grpcConn, service: pb.NewGovernorClient(grpcConn), caller: caller}, nil
}

// dial connects to host:port within service.ClientDialTimeout.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: service.ClientDialTimeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Close closes the connection. Calls in flight fail.
func (c *conn) Close() error { return c.grpc.Close() }

// convert returns the answer converted by fromProto, or err as a service error.
func convert[P, T any](answer P, err error, fromProto func(P) T) (T, error) {
	if failed := rpc.ErrorFromStatus(err); failed != nil {
		var none T
		return none, failed
	}
	return fromProto(answer), nil
}

// Greet performs the handshake.
func (c *conn) Greet(ctx context.Context, h service.Hello) (service.Hello, error) {
	hello, err := c.service.Greet(ctx, rpc.HelloToProto(h))
	return convert(hello, err, rpc.HelloFromProto)
}

// Table returns the complete state of a zone.
func (c *conn) Table(ctx context.Context, zone string) (service.Update, error) {
	update, err := c.service.Table(ctx, &pb.TableRequest{Zone: zone, Caller: c.caller})
	return convert(update, err, rpc.UpdateFromProto)
}

// Report sends a load report and returns the sequence number of the newest report that the controller has counted.
func (c *conn) Report(ctx context.Context, r *service.Report) (uint64, error) {
	request := rpc.ReportToProto(r)
	request.Caller = c.caller
	counted, err := c.service.Report(ctx, request)
	return convert(counted, err, (*pb.ReportReply).GetSeq)
}

// Server returns the state of a server by name.
func (c *conn) Server(ctx context.Context, name string) (service.ServerState, error) {
	state, err := c.service.Server(ctx, &pb.ServerRequest{Caller: c.caller, Name: name})
	return convert(state, err, rpc.ServerStateFromProto)
}

// History returns the newest versions of the weight table of a class, at most maxVersions. A negative limit counts as
// 0.
func (c *conn) History(ctx context.Context, zone, class string, maxVersions int) (service.History, error) {
	history, err := c.service.History(ctx, &pb.HistoryRequest{
		Caller: c.caller,
		Zone:   zone,
		Class:  class,
		Most:   uint32(max(0, maxVersions)),
	})
	return convert(history, err, rpc.HistoryFromProto)
}

// Summary returns a summary of the fleet.
func (c *conn) Summary(ctx context.Context) (service.Summary, error) {
	summary, err := c.service.Summary(ctx, &pb.SummaryRequest{Caller: c.caller})
	return convert(summary, err, rpc.SummaryFromProto)
}

// Watch calls apply for each update and acknowledges those that were applied. It returns when the context ends, the
// stream breaks or apply fails.
func (c *conn) Watch(
	ctx context.Context,
	zone string,
	from tableversion.Version,
	apply func(*service.Update) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.service.Watch(ctx)
	if err != nil {
		return rpc.ErrorFromStatus(err)
	}
	request := &pb.WatchRequest{Zone: zone, Caller: c.caller, Holds: rpc.VersionToProto(from)}
	if err := sendWatchRequest(stream, request); err != nil {
		return err
	}
	for {
		received, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return &service.Error{Code: service.Closing, Text: "controller ended the watch"}
		}
		if err != nil {
			return rpc.ErrorFromStatus(err)
		}
		update := rpc.UpdateFromProto(received)
		if err := apply(&update); err != nil {
			return err
		}
		if err := sendWatchRequest(stream, &pb.WatchRequest{Holds: rpc.VersionToProto(update.To)}); err != nil {
			return err
		}
	}
}

// sendWatchRequest sends a request on a watch stream. It ignores that the stream has ended, because only Recv returns
// the reason.
func sendWatchRequest(stream grpc.BidiStreamingClient[pb.WatchRequest, pb.Update], request *pb.WatchRequest) error {
	err := stream.Send(request)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return rpc.ErrorFromStatus(err)
}
