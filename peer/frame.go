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
	more   [][]byte // pieces of the body behind it, of a frame to be sent
}

// size returns the length of the body.
func (f frame) size() int {
	n := len(f.body)
	for _, b := range f.more {
		n += len(b)
	}
	return n
}

func (f frame) appendHead(b []byte) []byte {
	b = append(b, byte(f.kind), byte(f.method))
	b = binary.AppendUvarint(b, f.stream)
	return binary.AppendUvarint(b, uint64(f.size()))
}

func (f frame) appendTo(b []byte) []byte {
	b = append(f.appendHead(b), f.body...)
	for _, piece := range f.more {
		b = append(b, piece...)
	}
	return b
}

// pieces returns what is written for a frame. Large bodies are not copied.
func (f frame) pieces() [][]byte {
	if f.size() <= initialBody {
		return [][]byte{f.appendTo(nil)}
	}
	pieces := [][]byte{f.appendHead(nil)}
	for _, body := range append([][]byte{f.body}, f.more...) {
		for piece := range slices.Chunk(body, initialBody) {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

func readFrame(r *bufio.Reader) (frame, error) {
	f, length, err := readFrameHead(r)
	if err != nil {
		return frame{}, err
	}
	if f.body, err = readBody(r, length); err != nil {
		return frame{}, err
	}
	return f, nil
}

// readFrameHead reads a frame up to its body, and returns the length of that.
func readFrameHead(r *bufio.Reader) (frame, int, error) {
	kind, err := r.ReadByte()
	if err != nil {
		return frame{}, 0, err
	}
	method, err := r.ReadByte()
	if err != nil {
		return frame{}, 0, err
	}
	stream, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, 0, err
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, 0, err
	}
	if length > maxFrameBody || frameKind(kind) < frameCall || frameKind(kind) > framePart {
		return frame{}, 0, fmt.Errorf("%w: kind %d with a body of %d bytes", errInvalidFrame, kind, length)
	}
	return frame{kind: frameKind(kind), method: Method(method), stream: stream}, int(length), nil
}

// readBody reads a body of a length that the other side has claimed. Memory grows with
// what has arrived, as a claim alone could take that of a small host.
func readBody(r io.Reader, length int) ([]byte, error) {
	var body []byte
	for len(body) < length {
		have := len(body)
		size := min(length, max(2*have, initialBody))
		if have >= trustedBody {
			size = length
		}
		body = append(make([]byte, 0, size), body...)[:size]
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// initialBody is the size of a body up to which memory is taken before any of it has
// arrived.
const initialBody = 64 << 10

// trustedBody is how much of a body arrives before memory is taken for all of it, so that
// only a small part is copied to a larger buffer.
const trustedBody = 1 << 20
