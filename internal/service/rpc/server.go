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

// Server is the gRPC front of a service.
type Server struct {
	pb.UnimplementedGovernorServer
	service *service.Service
	grpc    *grpc.Server
	addr    string
}

// Listen serves on host:port.
func Listen(addr string, s *service.Service) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("service over gRPC: %w", err)
	}
	srv := &Server{service: s, addr: l.Addr().String()}
	srv.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(service.MaxRequestSize), grpc.MaxConcurrentStreams(service.MaxStreams), grpc.ConnectionTimeout(service.ConnectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: service.IdleTimeout, Time: service.PingInterval, Timeout: service.PingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: service.PingInterval / 2, PermitWithoutStream: true}))
	pb.RegisterGovernorServer(srv.grpc, srv)
	go func() { _ = srv.grpc.Serve(l) }()
	return srv, nil
}

// Addr tells where it listens.
func (s *Server) Addr() string { return s.addr }

// Close ends it: what is being answered is, for as long as the context stands.
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

// caller names who asks: by the name it gives itself, else by where it comes from.
func caller(ctx context.Context, name string) string {
	if name != "" {
		return name
	}
	if p, ok := peer.FromContext(ctx); ok {
		if host, _, err := net.SplitHostPort(p.Addr.String()); err == nil {
			return host
		}
	}
	return ""
}

func answer[T any](v T, f *service.Error) (T, error) {
	if f != nil {
		var none T
		return none, Status(f)
	}
	return v, nil
}

// Greet tells who is there.
func (s *Server) Greet(_ context.Context, h *pb.Hello) (*pb.Hello, error) {
	hello, f := s.service.Greet(HelloOf(h))
	return answer(HelloTo(hello), f)
}

// Table gives the whole of a zone.
func (s *Server) Table(ctx context.Context, r *pb.TableRequest) (*pb.Update, error) {
	u, f := s.service.Table(caller(ctx, r.Caller), r.Zone)
	if f != nil {
		return nil, Status(f)
	}
	return UpdateTo(&u.Update), nil
}

// Report counts a batch.
func (s *Server) Report(ctx context.Context, r *pb.ReportRequest) (*pb.ReportReply, error) {
	seq, f := s.service.Report(caller(ctx, r.Caller), ReportOf(r))
	return answer(&pb.ReportReply{Seq: seq}, f)
}

// Server tells of a server.
func (s *Server) Server(ctx context.Context, r *pb.ServerRequest) (*pb.ServerState, error) {
	st, f := s.service.Server(ctx, caller(ctx, r.Caller), r.Name)
	return answer(ServerTo(st), f)
}

// History tells of a class's versions.
func (s *Server) History(ctx context.Context, r *pb.HistoryRequest) (*pb.HistoryReply, error) {
	h, f := s.service.History(ctx, caller(ctx, r.Caller), r.Zone, r.Class, int(r.Most))
	return answer(HistoryTo(h), f)
}

// Summary tells how the fleet stands.
func (s *Server) Summary(ctx context.Context, r *pb.SummaryRequest) (*pb.SummaryReply, error) {
	m, f := s.service.Summary(ctx, caller(ctx, r.Caller))
	return answer(SummaryTo(m), f)
}

// Watch follows a zone: an update that goes to many is encoded once.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	wake := make(chan struct{}, 1)
	w, f := s.service.Watch(caller(stream.Context(), first.Caller), first.Zone, VersionOf(first.Holds), func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	if f != nil {
		return Status(f)
	}
	defer w.Close()
	left := make(chan error, 1)
	go func() { // ends with the stream
		for {
			r, err := stream.Recv()
			if err != nil {
				left <- err
				return
			}
			w.Ack(VersionOf(r.Holds))
		}
	}()
	for {
		u, f := w.Next()
		switch {
		case f != nil:
			return Status(f)
		case u != nil:
			form := u.Encoded(service.RPCEncoding, func(u *service.Update) any {
				m := &grpc.PreparedMsg{}
				if err := m.Encode(stream, UpdateTo(u)); err != nil {
					return err
				}
				return m
			})
			if err, failed := form.(error); failed {
				return err
			}
			if err := stream.SendMsg(form); err != nil {
				return err
			}
			continue
		}
		select {
		case <-wake:
		case err := <-left:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}
