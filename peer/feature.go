package peer

import (
	"context"
	"fmt"
)

// Features are a set of message forms that a node accepts beyond those of the first version.
// A node announces them in the method of each pong, and so before the reply to the first call
// on a connection. Earlier versions send none there, and ignore them.
type Features byte

// Announce sets the features of this node. It must be called before Run.
func (t *Transport) Announce(f Features) { t.features = f }

// Exchange sends a message that is encoded for what the node at an address accepts, and
// returns its reply. The features are those of the connection on which the message is sent.
func (t *Transport) Exchange(ctx context.Context, address string, encode func(accepted Features) (Method, []byte, error)) ([]byte, error) {
	c, err := t.connTo(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.mu.Lock()
	accepted := c.accepted
	c.mu.Unlock()
	m, body, err := encode(accepted)
	if err != nil {
		return nil, fmt.Errorf("%w: encode message: %w", ErrNotSent, err)
	}
	return c.call(ctx, m, body)
}
