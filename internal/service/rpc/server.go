// Package rpc serves the queries of package service over gRPC, as pb/cressknot.proto defines it. It decides nothing.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"

	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
)

// pingTolerance is by which factor a client may ping more often than agreed.
const pingTolerance = 2

// Server serves a service over gRPC.
type Server struct {
	pb.UnimplementedGovernorServer
	service *service.Service
	grpc    *grpc.Server
	addr    string
}

// Listen serves on host:port.
func Listen(addr string, s *service.Service) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gRPC service: %w", err)
	}
	server := &Server{service: s, addr: listener.Addr().String()}
	server.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(service.MaxRequestSize),
		grpc.MaxConcurrentStreams(service.MaxStreams),
		grpc.ConnectionTimeout(service.ConnectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: service.IdleTimeout,
			Time:              service.PingInterval,
			Timeout:           service.PingTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             service.PingInterval / pingTolerance,
			PermitWithoutStream: true,
		}),
	)
	pb.RegisterGovernorServer(server.grpc, server)
	go func() { _ = server.grpc.Serve(listener) }() // ends with Close
	return server, nil
}

// Addr returns the address on which it listens.
func (s *Server) Addr() string { return s.addr }

// Close stops the server; calls in flight are answered until the context ends.
func (s *Server) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
	return nil
}

// callerName returns the name that a caller gives itself, else the host that it calls from.
func callerName(ctx context.Context, name string) string {
	if name != "" {
		return name
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	host, _, err := net.SplitHostPort(p.Addr.String())
	if err != nil {
		return ""
	}
	return host
}

// reply returns an answer or its error as a status.
func reply[T any](answer T, failed *service.Error) (T, error) {
	if failed != nil {
		var none T
		return none, StatusFromError(failed)
	}
	return answer, nil
}

// Greet answers an introduction.
func (s *Server) Greet(_ context.Context, h *pb.Hello) (*pb.Hello, error) {
	hello, failed := s.service.Greet(HelloFromProto(h))
	return reply(HelloToProto(hello), failed)
}

// Table returns the complete state of a zone.
func (s *Server) Table(ctx context.Context, r *pb.TableRequest) (*pb.Update, error) {
	update, failed := s.service.Table(callerName(ctx, r.Caller), r.Zone)
	if failed != nil {
		return nil, StatusFromError(failed)
	}
	return UpdateToProto(&update.Update), nil
}

// Report counts a batch of outcomes.
func (s *Server) Report(ctx context.Context, r *pb.ReportRequest) (*pb.ReportReply, error) {
	sequence, failed := s.service.Report(callerName(ctx, r.Caller), ReportFromProto(r))
	return reply(&pb.ReportReply{Seq: sequence}, failed)
}

// Server returns the state of a server.
func (s *Server) Server(ctx context.Context, r *pb.ServerRequest) (*pb.ServerState, error) {
	state, failed := s.service.Server(ctx, callerName(ctx, r.Caller), r.Name)
	return reply(ServerStateToProto(state), failed)
}

// History returns the versions of a class's table.
func (s *Server) History(ctx context.Context, r *pb.HistoryRequest) (*pb.HistoryReply, error) {
	history, failed := s.service.History(ctx, callerName(ctx, r.Caller), r.Zone, r.Class, int(r.Most))
	return reply(HistoryToProto(history), failed)
}

// Summary returns the state of the fleet.
func (s *Server) Summary(ctx context.Context, r *pb.SummaryRequest) (*pb.SummaryReply, error) {
	summary, failed := s.service.Summary(ctx, callerName(ctx, r.Caller))
	return reply(SummaryToProto(summary), failed)
}

// Watch follows a zone: an update that goes to many watchers is encoded once.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	wake := make(chan struct{}, 1)
	caller := callerName(stream.Context(), first.Caller)
	watcher, failed := s.service.Watch(caller, first.Zone, VersionFromProto(first.Holds), func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	if failed != nil {
		return StatusFromError(failed)
	}
	defer watcher.Close()
	received := make(chan error, 1)
	go func() { received <- receiveAcks(stream, watcher) }() // ends with the stream
	for {
		update, ended := watcher.Next()
		switch {
		case ended != nil:
			return StatusFromError(ended)
		case update != nil:
			if err := sendUpdate(stream, update); err != nil {
				return err
			}
			continue
		}
		select {
		case <-wake:
		case err := <-received:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// receiveAcks passes acknowledgements to the watcher until the stream ends.
func receiveAcks(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update], watcher *service.Watcher) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		watcher.Ack(VersionFromProto(request.Holds))
	}
}

// sendUpdate sends the shared encoding of an update.
func sendUpdate(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update], update *service.SharedUpdate) error {
	encoded := update.Encoded(service.RPCEncoding, func(u *service.Update) any {
		message := &grpc.PreparedMsg{}
		if err := message.Encode(stream, UpdateToProto(u)); err != nil {
			return err
		}
		return message
	})
	if err, failed := encoded.(error); failed {
		return err
	}
	return stream.SendMsg(encoded)
}
