package rpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc/pb"
)

// statusCodes map error codes to gRPC status codes, for clients that do not read the detail of a status.
var statusCodes = map[service.Code]codes.Code{
	service.Unready:    codes.Unavailable,
	service.NoZone:     codes.NotFound,
	service.NoClass:    codes.NotFound,
	service.NoServer:   codes.NotFound,
	service.BadRequest: codes.InvalidArgument,
	service.TooLarge:   codes.OutOfRange,
	service.Overloaded: codes.ResourceExhausted,
	service.Busy:       codes.DeadlineExceeded,
	service.OtherMajor: codes.FailedPrecondition,
	service.Closing:    codes.Unavailable,
	service.TooSlow:    codes.Aborted,
}

// StatusFromError converts an error answer to a gRPC status whose detail, a pb.Fault, contains the original error.
func StatusFromError(e *service.Error) error {
	s := status.New(statusCodes[e.Code], e.Text)
	detail := &pb.Fault{Code: string(e.Code), Text: e.Text, RetryAfterNs: uint64(e.RetryAfter)}
	if detailed, err := s.WithDetails(detail); err == nil {
		s = detailed
	}
	return s.Err()
}

// ErrorFromStatus converts the error of a gRPC call to an error answer, nil to nil. Errors without a detail, which come
// from the gRPC library, get the codes OtherMajor, Busy, Malformed or Unreachable.
func ErrorFromStatus(err error) *service.Error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	for _, detail := range s.Details() {
		if e, ok := detail.(*pb.Fault); ok {
			return &service.Error{Code: service.Code(e.Code), Text: e.Text, RetryAfter: fleet.Time(e.RetryAfterNs)}
		}
	}
	switch s.Code() {
	case codes.Unimplemented:
		return &service.Error{Code: service.OtherMajor, Text: s.Message()}
	case codes.DeadlineExceeded, codes.Canceled:
		return &service.Error{Code: service.Busy, Text: s.Message()}
	case codes.Internal, codes.ResourceExhausted: // from the gRPC library: invalid or too large messages
		return &service.Error{Code: service.Malformed, Text: s.Message()}
	}
	return &service.Error{Code: service.Unreachable, Text: s.Message()}
}
