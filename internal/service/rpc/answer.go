package rpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// encodedAnswer is an encoded message. Calls that get the same answer may share it.
type encodedAnswer []byte

// answerCodec is the codec of the library, which also takes an encodedAnswer. The library encodes into buffers that may
// be many times larger than the message, and only when the answer is on its way.
type answerCodec struct{ encoding.CodecV2 }

func newAnswerCodec() answerCodec { return answerCodec{encoding.GetCodecV2(protocodec.Name)} }

// Marshal returns the bytes of an encodedAnswer, or encodes a message.
func (c answerCodec) Marshal(message any) (mem.BufferSlice, error) {
	if answer, ok := message.(encodedAnswer); ok {
		return mem.BufferSlice{mem.SliceBuffer(answer)}, nil
	}
	return c.CodecV2.Marshal(message)
}

// encodeAnswers calls the handler of a call and encodes its answer, which counts as held by the connection until it is
// sent.
func encodeAnswers(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if ctx.Err() != nil { // the client has left, so that its request is not carried out
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	answer, err := handle(ctx, request)
	if err != nil {
		return nil, err
	}
	encoded, ok := answer.(encodedAnswer)
	if !ok {
		if encoded, err = proto.Marshal(answer.(proto.Message)); err != nil {
			return nil, err
		}
	}
	if c := connectionOf(ctx); c != nil {
		c.updateUsage(func(u *usage) { u.answer(int64(len(encoded))) })
	}
	return encoded, nil
}
