package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
)

const (
	// segmentPayloadBytes and segmentHeaderBytes approximate the TCP and IPv4 headers
	// of a stream: one header with the timestamp option for each full segment.
	segmentPayloadBytes = 1448
	segmentHeaderBytes  = 52
)

// countBytes wraps a TCP connection to count its bytes as control traffic.
func (t *Transport) countBytes(conn net.Conn) net.Conn { return &countedConn{Conn: conn, t: t} }

type countedConn struct {
	net.Conn
	t *Transport
}

// bytesOnWire returns the size of n payload bytes with their headers.
func bytesOnWire(n int) int64 {
	return int64(n + (n+segmentPayloadBytes-1)/segmentPayloadBytes*segmentHeaderBytes)
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.received.Add(bytesOnWire(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.sent.Add(bytesOnWire(n))
	return n, err
}

// enqueue queues a large message for an address and starts its sender if none is
// running.
func (t *Transport) enqueue(address string, b []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	q := t.queues[address]
	if q == nil {
		q = make(chan []byte, maxQueuedMessages)
		t.queues[address] = q
		t.senders.Go(func() { t.runSender(address, q) })
	}
	select {
	case q <- b:
		return nil
	default:
		return ErrQueueFull
	}
}

// runSender sends the queued messages of one address until the queue has been empty
// for senderIdleTimeout.
func (t *Transport) runSender(address string, q chan []byte) {
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case b := <-q:
			if err := t.deliverTo(address, b); err != nil {
				// The queued messages would be outdated once the host answers again.
				t.dropped.Add(int64(1 + discardQueued(q)))
			}
			idle.Reset(senderIdleTimeout)
		case <-t.ctx.Done():
			return
		case <-idle.C:
			t.mu.Lock()
			if len(q) == 0 {
				delete(t.queues, address)
				t.mu.Unlock()
				return
			}
			t.mu.Unlock()
			idle.Reset(senderIdleTimeout)
		}
	}
}

// discardQueued empties a queue and returns the number of discarded messages.
func discardQueued(q chan []byte) int {
	for n := 0; ; n++ {
		select {
		case <-q:
		default:
			return n
		}
	}
}

// deliverTo sends a message and waits for its acknowledgement, so that a half-open
// connection is detected and replaced.
func (t *Transport) deliverTo(address string, b []byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	return t.call(ctx, address, "deliver", deliverParams{Data: b}, new(struct{}))
}

// Call calls a method of another node. It returns within callTimeout.
func (t *Transport) Call(ctx context.Context, name, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address, err := t.addressOf(name)
	if err == nil {
		err = t.call(ctx, address, method, params, result)
	}
	if err != nil {
		return fmt.Errorf("call method %s of host %s: %w", method, name, err)
	}
	return nil
}

// call calls a method over the connection to an address. After any error that is not
// a response of the other node it closes the connection, so that the next call opens
// a new one.
func (t *Transport) call(ctx context.Context, address, method string, params, result any) error {
	client, err := t.clientFor(ctx, address)
	if err != nil {
		return err
	}
	err = client.CallResult(ctx, method, params, result)
	var answer *jrpc2.Error
	if err != nil && (ctx.Err() != nil || !errors.As(err, &answer)) {
		t.dropClient(address, client)
	}
	return err
}

// clientFor returns the client of an address and connects it if there is none.
func (t *Transport) clientFor(ctx context.Context, address string) (*jrpc2.Client, error) {
	t.mu.Lock()
	client, ok := t.clients[address]
	closed := t.closed
	t.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if ok {
		return client, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to control address %s: %w", address, err)
	}
	client = jrpc2.NewClient(channel.Line(t.countBytes(conn), conn), nil)
	unused, err := t.addClient(address, client)
	for _, c := range unused {
		_ = c.Close()
	}
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if kept := t.clients[address]; kept != nil {
		return kept, nil
	}
	return client, nil
}

// addClient stores a new client. It returns the clients that the caller must close:
// the new one if a concurrent call stored another, or old ones above maxClients.
func (t *Transport) addClient(address string, client *jrpc2.Client) (unused []*jrpc2.Client, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return []*jrpc2.Client{client}, ErrClosed
	}
	if t.clients[address] != nil {
		return []*jrpc2.Client{client}, nil
	}
	for a, c := range t.clients {
		if len(t.clients) < maxClients {
			break
		}
		delete(t.clients, a)
		unused = append(unused, c)
	}
	t.clients[address] = client
	return unused, nil
}

// dropClient closes a client and removes it if it is still the one in use.
func (t *Transport) dropClient(address string, client *jrpc2.Client) {
	t.mu.Lock()
	if t.clients[address] == client {
		delete(t.clients, address)
	}
	t.mu.Unlock()
	_ = client.Close()
}
