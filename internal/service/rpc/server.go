// Package rpc serves package service over gRPC, as defined in pb/cressknot.proto. It only translates between the types
// of the two packages, for servers and for clients.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
)

// pingTolerance is the factor by which a client may ping more often than once per service.PingInterval without being
// disconnected.
const pingTolerance = 2

// Server serves a service over gRPC. Use Listen to create one.
type Server struct {
	pb.UnimplementedGovernorServer
	service *service.Service
	grpc    *grpc.Server
	addr    string
}

// Listen starts to serve a service on a TCP address, host:port. Port 0 selects a free port; see Addr.
func Listen(addr string, s *service.Service) (*Server, error) {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gRPC service: %w", err)
	}
	server := &Server{
		service: s,
		addr:    tcp.Addr().String(),
	}
	server.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(service.MaxRequestSize),
		grpc.MaxHeaderListSize(service.MaxHeaderListSize),
		grpc.InTapHandle(boundCall),
		grpc.ForceServerCodecV2(newAnswerCodec()),
		grpc.UnaryInterceptor(encodeAnswers),
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
	go func() { _ = server.grpc.Serve(&listener{tcp, s.Connections}) }() // returns after Close
	return server, nil
}

// Addr returns the address, host:port, on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close stops the server. It waits for calls in flight until the context ends, then cancels them. It returns nil.
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

// reply returns the answer, or a status if there is an error.
func reply[T any](answer T, serviceErr *service.Error) (T, error) {
	if serviceErr != nil {
		var zero T
		return zero, StatusFromError(serviceErr)
	}
	return answer, nil
}

// Greet answers the first message of a caller; see service.Service.Greet.
func (s *Server) Greet(_ context.Context, h *pb.Hello) (*pb.Hello, error) {
	hello, serviceErr := s.service.Greet(HelloFromProto(h))
	return reply(HelloToProto(hello), serviceErr)
}

// Table returns the complete tables of a zone.
func (s *Server) Table(ctx context.Context, r *pb.TableRequest) (*pb.Update, error) {
	update, serviceErr := s.service.Table(callerOf(ctx, r.Caller), r.Zone)
	if serviceErr != nil {
		return nil, StatusFromError(serviceErr)
	}
	message := update.Encoded(service.RPCMessage, func(u *service.Update) any { return UpdateToProto(u) })
	return message.(*pb.Update), nil
}

// Report adds a batch of outcomes to the counters of its zone.
func (s *Server) Report(ctx context.Context, r *pb.ReportRequest) (*pb.ReportReply, error) {
	sequence, serviceErr := s.service.Report(callerOf(ctx, r.Caller), ReportFromProto(r))
	return reply(&pb.ReportReply{Seq: sequence}, serviceErr)
}

// Server returns the state of a server.
func (s *Server) Server(ctx context.Context, r *pb.ServerRequest) (*pb.ServerState, error) {
	state, serviceErr := s.service.Server(ctx, callerOf(ctx, r.Caller), r.Name)
	return reply(ServerStateToProto(state), serviceErr)
}

// History returns the newest versions of the weight table of a class in a zone.
func (s *Server) History(ctx context.Context, r *pb.HistoryRequest) (*pb.HistoryReply, error) {
	history, serviceErr := s.service.History(ctx, callerOf(ctx, r.Caller), r.Zone, r.Class, int(r.Most))
	return reply(HistoryToProto(history), serviceErr)
}

// Summary returns a summary of the fleet.
func (s *Server) Summary(ctx context.Context, r *pb.SummaryRequest) (*pb.SummaryReply, error) {
	summary, serviceErr := s.service.Summary(ctx, callerOf(ctx, r.Caller))
	return reply(SummaryToProto(summary), serviceErr)
}

// Watch sends the updates of a zone until the stream or the watch ends. The first request names the zone and the
// version that the client has, later ones acknowledge versions. Updates are encoded once for all watchers.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update]) error {
	first, err := receiveFirst(stream)
	if err != nil {
		return err
	}
	wake := make(chan struct{}, 1)
	caller := callerOf(stream.Context(), first.Caller)
	watcher, serviceErr := s.service.Watch(caller, first.Zone, VersionFromProto(first.Holds), func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	if serviceErr != nil {
		return StatusFromError(serviceErr)
	}
	defer watcher.Close()
	streamErr := make(chan error, 1)
	go func() { streamErr <- receiveAcks(stream, watcher) }() // ends with the stream
	for {
		update, endErr := watcher.Next()
		switch {
		case endErr != nil:
			return StatusFromError(endErr)
		case update != nil:
			if err := sendUpdate(stream, update); err != nil {
				return err
			}
			continue
		}
		select {
		case <-wake:
		case err := <-streamErr:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// receiveFirst receives the first request of a watch. It fails if that is not complete within service.RequestTimeout.
func receiveFirst(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update]) (*pb.WatchRequest, error) {
	type result struct {
		request *pb.WatchRequest
		err     error
	}
	received := make(chan result, 1)
	go func() { // ends with the stream
		request, err := stream.Recv()
		received <- result{request, err}
	}()
	timeout := time.NewTimer(service.RequestTimeout)
	defer timeout.Stop()
	select {
	case r := <-received:
		return r.request, r.err
	case <-timeout.C:
		return nil, status.Errorf(codes.DeadlineExceeded, "first request of the watch is not complete after %v",
			service.RequestTimeout)
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

// sendUpdate sends an update. The first watcher to send it encodes it for all.
func sendUpdate(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update], update *service.SharedUpdate) error {
	encoded := update.Encoded(service.RPCEncoding, func(u *service.Update) any {
		message := &grpc.PreparedMsg{}
		if err := message.Encode(stream, UpdateToProto(u)); err != nil {
			return err
		}
		return message
	})
	if err, isErr := encoded.(error); isErr {
		return err
	}
	return stream.SendMsg(encoded)
}
