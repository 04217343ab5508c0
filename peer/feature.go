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
// on which it is sent, and returns the reply.
func (t *Transport) Exchange(ctx context.Context, address string, encode func(to Remote) (Method, []byte, error)) ([]byte, error) {
	c, err := t.connTo(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.mu.Lock()
	to := Remote{Accepted: c.accepted, Strings: &c.learner}
	c.mu.Unlock()
	m, body, err := encode(to)
	if err != nil {
		return nil, fmt.Errorf("%w: encode message: %w", ErrNotSent, err)
	}
	return c.call(ctx, m, body)
}
