package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// frameKind distinguishes calls, their replies and control frames.
type frameKind byte

const (
	frameCall frameKind = iota + 1
	frameReply
	frameCancel
	framePing
	framePong
	framePart // a piece of a reply that is not the last; only for nodes with acceptsParts
)

// acceptsParts is set in the method of a ping by nodes that know framePart. Earlier
// versions ignore the method of a ping.
const acceptsParts Method = 1

// maxFrameBody bounds the body of a frame: the largest request body that rules
// allow and its headers.
const maxFrameBody = 80 << 20

var errInvalidFrame = errors.New("invalid frame")

// frame is one message on a connection.
type frame struct {
	kind   frameKind
	method Method // of a call
	stream uint64 // ID of the call that the frame belongs to
	body   []byte
}

func (f frame) appendTo(b []byte) []byte {
	b = append(b, byte(f.kind), byte(f.method))
	b = binary.AppendUvarint(b, f.stream)
	b = binary.AppendUvarint(b, uint64(len(f.body)))
	return append(b, f.body...)
}

func readFrame(r *bufio.Reader) (frame, error) {
	kind, err := r.ReadByte()
	if err != nil {
		return frame{}, err
	}
	method, err := r.ReadByte()
	if err != nil {
		return frame{}, err
	}
	stream, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if length > maxFrameBody || frameKind(kind) < frameCall || frameKind(kind) > framePart {
		return frame{}, fmt.Errorf("%w: kind %d with a body of %d bytes", errInvalidFrame, kind, length)
	}
	f := frame{kind: frameKind(kind), method: Method(method), stream: stream}
	if f.body, err = readBody(r, int(length)); err != nil {
		return frame{}, err
	}
	return f, nil
}

// readBody reads a body of a length that the other side has claimed. Memory grows with
// what has arrived, as a claim alone could take that of a small host.
func readBody(r io.Reader, length int) ([]byte, error) {
	var body []byte
	for len(body) < length {
		have := len(body)
		body = slices.Grow(body, min(length-have, max(have, initialBody)))
		body = body[:min(length, cap(body))]
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// initialBody is the size of a body up to which memory is taken before any of it has
// arrived.
const initialBody = 64 << 10
