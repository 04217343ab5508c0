package peer

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// errNoBulk means that a message is no array with a byte string at the wanted place.
var errNoBulk = errors.New("message has no byte string at the wanted place")

const (
	// cborArray and cborBytes are the major types of CBOR in the first byte of an item, and
	// cborNull is the item of a nil byte string.
	cborArray = 4 << 5
	cborBytes = 2 << 5
	cborNull  = 0xf6
	// shortArray is the number of elements up to which the first byte of an array tells it.
	shortArray = 23
)

// skipped is an item of any type that is not decoded.
type skipped struct{}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (*skipped) UnmarshalCBOR([]byte) error { return nil }

// find returns the rest of an encoded array from the element with an index on.
func find(message []byte, index int) ([]byte, error) {
	if len(message) == 0 || message[0] < cborArray || int(message[0]) > cborArray+shortArray || index >= int(message[0])-cborArray {
		return nil, errNoBulk
	}
	rest := message[1:]
	for range index {
		var err error
		if rest, err = cbor.UnmarshalFirst(rest, &skipped{}); err != nil {
			return nil, fmt.Errorf("%w: %w", errNoBulk, err)
		}
	}
	if len(rest) == 0 {
		return nil, errNoBulk
	}
	return rest, nil
}

// insertBulk returns what precedes and what follows a byte string of a length that takes
// the place of an empty one in an encoded array.
func insertBulk(message []byte, index, length int) (before, after []byte, err error) {
	rest, err := find(message, index)
	if err != nil {
		return nil, nil, err
	}
	if rest[0] != cborBytes && rest[0] != cborNull {
		return nil, nil, errNoBulk
	}
	at := len(message) - len(rest)
	before = append([]byte(nil), message[:at]...)
	before = append(before, cborBytes|26) // a length in four bytes follows
	return binary.BigEndian.AppendUint32(before, uint32(length)), message[at+1:], nil
}

// TakeBulk returns an encoded array without its byte string at an index, and that byte
// string, which is no copy.
func TakeBulk(message []byte, index int) (rest, bulk []byte, err error) {
	tail, err := find(message, index)
	if err != nil {
		return nil, nil, err
	}
	head := message[:len(message)-len(tail)]
	if tail[0] == cborNull {
		return message, nil, nil
	}
	size, width := uint64(tail[0]&31), 0
	switch {
	case tail[0]&0xe0 != cborBytes || size > 27:
		return nil, nil, errNoBulk
	case size >= 24:
		width = 1 << (size - 24)
	}
	if len(tail) < 1+width {
		return nil, nil, errNoBulk
	}
	if width > 0 {
		size = 0
		for _, b := range tail[1 : 1+width] {
			size = size<<8 | uint64(b)
		}
	}
	tail = tail[1+width:]
	if size > uint64(len(tail)) {
		return nil, nil, errNoBulk
	}
	rest = append(append(append([]byte(nil), head...), cborBytes), tail[size:]...)
	return rest, tail[:size:size], nil
}

// MarshalBulk encodes a message as an array, with a byte string at an index that is not
// copied. The message's own element there is empty.
func MarshalBulk(message any, index int, bulk []byte) ([][]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	before, after, err := insertBulk(encoded, index, len(bulk))
	return [][]byte{before, bulk, after}, err
}
