package peer

import (
	"context"
	"fmt"

	"burdocklift/terse"
)

// Features are a set of message forms that a node accepts beyond those of the first version.
// A node announces them in the method of each pong, the first of which answers the ping that
// opens a connection. Earlier versions send none there, and ignore them.
type Features byte

// Announce sets the features of this node. It must be called before Run.
func (t *Transport) Announce(f Features) { t.features = f }

// Remote is what this node knows of the other end of a connection.
type Remote struct {
	Accepted Features       // none until the first pong
	Strings  *terse.Learner // of the connection
}

// memoryKey is the key of a connection's memory in the contexts of handlers.
type memoryKey struct{}

// Memory returns the strings of the connection on which a handler was called.
func Memory(ctx context.Context) *terse.Memory {
	m, _ := ctx.Value(memoryKey{}).(*terse.Memory)
	return m
}

// Exchange sends a message that is encoded for the node at an address and for the connection
// on which it is sent, and returns the reply. The message is encoded in pieces, of which bulk
// bytes are a part; a large one gets a connection of its own.
func (t *Transport) Exchange(
	ctx context.Context, address string, bulk int, encode func(to Remote) (Method, [][]byte, error),
) ([]byte, error) {
	c, err := t.connTo(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.mu.Lock()
	to := Remote{Accepted: c.accepted, Strings: &c.learner}
	c.mu.Unlock()
	if bulk > ownConnection {
		if c, err = t.dialAlone(ctx, address); err != nil {
			return nil, err
		}
		defer t.closeAlone(c)
		to.Strings = &c.learner
	}
	m, pieces, err := encode(to)
	if err != nil {
		return nil, fmt.Errorf("%w: encode message: %w", ErrNotSent, err)
	}
	return c.callFrame(ctx, frame{kind: frameCall, method: m, more: pieces})
}
