// Package rpc connects the client library to governors over gRPC.
package rpc

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cressknot/client"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc"
	"cressknot/internal/service/rpc/pb"
	"cressknot/internal/tableversion"
)

// New makes a client whose governors are asked over gRPC at host:port.
func New(cfg client.Config) (*client.Client, error) { return client.New(cfg, Transport{}) }

// Transport connects over gRPC.
type Transport struct {
	Options []grpc.DialOption // beside ours: credentials, say
}

var _ client.Transport = Transport{}

type conn struct {
	grpc   *grpc.ClientConn
	to     pb.GovernorClient
	caller string
}

// Dial makes ready to ask; the connection itself is made by the first question.
func (t Transport) Dial(_ context.Context, addr, caller string) (client.Conn, error) {
	options := append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(service.MaxAnswerSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: service.PingInterval, Timeout: service.PingTimeout}), grpc.WithNoProxy()}, t.Options...)
	c, err := grpc.NewClient("passthrough:///"+addr, options...)
	if err != nil {
		return nil, &service.Error{Code: service.Unreachable, Text: err.Error()}
	}
	return &conn{c, pb.NewGovernorClient(c), caller}, nil
}

func (c *conn) Close() error { return c.grpc.Close() }

// got gives an answer or its fault.
func got[P, T any](p P, err error, of func(P) T) (v T, fault error) {
	if f := rpc.ErrorFromStatus(err); f != nil {
		return v, f
	}
	return of(p), nil
}

func (c *conn) Greet(ctx context.Context, h service.Hello) (service.Hello, error) {
	p, err := c.to.Greet(ctx, rpc.HelloToProto(h))
	return got(p, err, rpc.HelloFromProto)
}

func (c *conn) Table(ctx context.Context, zone string) (service.Update, error) {
	p, err := c.to.Table(ctx, &pb.TableRequest{Zone: zone, Caller: c.caller})
	return got(p, err, rpc.UpdateFromProto)
}

func (c *conn) Report(ctx context.Context, r *service.Report) (uint64, error) {
	q := rpc.ReportToProto(r)
	q.Caller = c.caller
	p, err := c.to.Report(ctx, q)
	return got(p, err, (*pb.ReportReply).GetSeq)
}

func (c *conn) Server(ctx context.Context, name string) (service.ServerState, error) {
	p, err := c.to.Server(ctx, &pb.ServerRequest{Caller: c.caller, Name: name})
	return got(p, err, rpc.ServerStateFromProto)
}

func (c *conn) History(ctx context.Context, zone, class string, most int) (service.History, error) {
	p, err := c.to.History(ctx, &pb.HistoryRequest{Caller: c.caller, Zone: zone, Class: class, Most: uint32(max(0, most))})
	return got(p, err, rpc.HistoryFromProto)
}

func (c *conn) Summary(ctx context.Context) (service.Summary, error) {
	p, err := c.to.Summary(ctx, &pb.SummaryRequest{Caller: c.caller})
	return got(p, err, rpc.SummaryFromProto)
}

func (c *conn) Watch(ctx context.Context, zone string, holds tableversion.Version, take func(*service.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.to.Watch(ctx)
	if err != nil {
		return rpc.ErrorFromStatus(err)
	}
	if err := stream.Send(&pb.WatchRequest{Zone: zone, Caller: c.caller, Holds: rpc.VersionToProto(holds)}); err != nil && !errors.Is(err, io.EOF) {
		return rpc.ErrorFromStatus(err)
	}
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return &service.Error{Code: service.Closing, Text: "the governor ended the watch"}
		}
		if err != nil {
			return rpc.ErrorFromStatus(err)
		}
		u := rpc.UpdateFromProto(p)
		if err := take(&u); err != nil {
			return err
		}
		if err := stream.Send(&pb.WatchRequest{Holds: rpc.VersionToProto(u.To)}); err != nil && !errors.Is(err, io.EOF) { // what broke it comes by Recv
			return rpc.ErrorFromStatus(err)
		}
	}
}
