package grpcserver

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const minFieldBytes = 2 // a tag, and a value or its length

var errTooManyFields = errors.New("the message has too many fields")

// boundedCodec decodes messages of at most maxFields fields, those of nested messages included. Guards against messages that take
// many times their bytes once they are decoded: an empty field has two bytes on the wire.
type boundedCodec struct {
	encoding.CodecV2
	maxFields int
}

func newBoundedCodec(maxFields int) boundedCodec {
	return boundedCodec{encoding.GetCodecV2(protocodec.Name), maxFields}
}

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("a %T is no message", v)
	}
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	if err := c.checkFields(buffer.ReadOnlyData(), message.ProtoReflect().Descriptor()); err != nil {
		return err
	}
	return proto.Unmarshal(buffer.ReadOnlyData(), message)
}

// checkFields returns an error if an encoded message has too many fields.
func (c boundedCodec) checkFields(b []byte, descriptor protoreflect.MessageDescriptor) error {
	if len(b) <= minFieldBytes*c.maxFields {
		return nil
	}
	_, err := consumeFields(b, descriptor, c.maxFields)
	return err
}

// consumeFields returns how many of the fields that are left a message leaves.
func consumeFields(b []byte, descriptor protoreflect.MessageDescriptor, left int) (int, error) {
	for len(b) > 0 {
		if left--; left < 0 {
			return 0, errTooManyFields
		}
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		b = b[n:]
		n = protowire.ConsumeFieldValue(number, kind, b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		if nested := nestedMessage(descriptor, number); nested != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(b)
			var err error
			if left, err = consumeFields(value, nested, left); err != nil {
				return 0, err
			}
		}
		b = b[n:]
	}
	return left, nil
}

// nestedMessage returns the message that a field holds; nil if it holds something else.
func nestedMessage(descriptor protoreflect.MessageDescriptor, number protowire.Number) protoreflect.MessageDescriptor {
	field := descriptor.Fields().ByNumber(number)
	if field == nil {
		return nil
	}
	return field.Message()
}
