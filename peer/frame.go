package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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
	if length > 0 {
		f.body = make([]byte, length)
		if _, err := io.ReadFull(r, f.body); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}
