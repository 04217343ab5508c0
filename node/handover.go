package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/creachadair/jrpc2/handler"

	"burdocklift/dedup"
	"burdocklift/owner"
	"burdocklift/proto"
	"burdocklift/route"
	"burdocklift/wire"
)

const (
	// methodHandover carries one chunk of idempotency entries to the next owner.
	methodHandover = "handover"
	// chunkTimeout ends a call without a reply. A chunk has at most 256 KiB.
	chunkTimeout = 2 * time.Second
	// chunkPause is the wait before a chunk is sent again.
	chunkPause = 50 * time.Millisecond
	// entryPoll is how often the published view is looked at for new epochs.
	// Requests that come earlier begin the epoch themselves.
	entryPoll = 20 * time.Millisecond
	// sweepInterval is how often expired ids of idle shards are freed.
	sweepInterval = 10 * time.Second
)

var (
	errNoHandover = errors.New("entry names no next owner")
	errNotReady   = errors.New("node has no rules yet")
)

// chunkParams is the parameter of the method that carries a chunk.
type chunkParams struct {
	To    proto.HostID `json:"to"`
	Chunk []byte       `json:"chunk"`
}

// entries keeps the idempotency table in step with ownership and hands it over.
type entries struct {
	node *Node
}

func newEntries(n *Node) *entries {
	e := &entries{node: n}
	n.transport.Handle(methodHandover, handler.New(e.receive))
	return e
}

// Run implements kernel.Service.
func (e *entries) Run(ctx context.Context) error {
	clock, follower := e.node.cfg.Clock, e.node.router.NewIdempotencySync()
	ticker := clock.NewTicker(entryPoll)
	defer ticker.Stop()
	next := clock.Now().Add(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.Chan():
			follower.Sync(now)
			if ids := e.node.router.IdempotencyTable(); ids != nil && !now.Before(next) {
				next = now.Add(sweepInterval)
				ids.Sweep(now)
			}
		}
	}
}

// drain stops work on an entry and hands its ids to the next owner, which has
// confirmed all of them when drain returns without an error.
func (e *entries) drain(ctx context.Context, ref owner.Ref) error {
	n := e.node
	if err := n.router.InFlight().Drain(ctx, n.control.View, ref.Service, ref.Shard, ref.Key); err != nil {
		return fmt.Errorf("drain %s: %w", ref, err)
	}
	o := n.control.View().Ownership(ref.Service, ref.Shard, ref.Key)
	if o.Next.IsZero() || o.ID != n.control.View().Self() {
		return fmt.Errorf("hand over %s: %w", ref, errNoHandover)
	}
	ids := n.router.IdempotencyTable()
	if ids == nil {
		return fmt.Errorf("hand over %s: %w", ref, errNotReady)
	}
	scope := route.Scope(ref.Shard, ref.Key)
	// The table may not have seen the epoch yet if no request came.
	n.router.BeginEpoch(n.cfg.Clock.Now(), ref.Shard, ref.Key, o.Epoch)
	chunks, err := ids.Export(scope, o.Epoch)
	if err != nil {
		return fmt.Errorf("hand over %s: %w", ref, err)
	}
	for _, c := range chunks {
		if err := e.send(ctx, o.Next, c); err != nil {
			return fmt.Errorf("hand over %s to %s: %w", ref, o.Next, err)
		}
	}
	return nil
}

// send repeats a chunk until it is confirmed, refused, or the drain ends.
func (e *entries) send(ctx context.Context, to proto.HostID, c *dedup.Chunk) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	for {
		call, cancel := context.WithTimeout(ctx, chunkTimeout)
		var refused string
		err := e.node.transport.Call(call, to.Name, methodHandover, chunkParams{To: to, Chunk: b}, &refused)
		cancel()
		switch {
		case err == nil && refused != "":
			return fmt.Errorf("chunk %d of %d is refused: %s", c.Part+1, c.Parts, refused)
		case err == nil:
			return nil
		case errors.Is(err, wire.ErrClosed):
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("chunk %d of %d: %w", c.Part+1, c.Parts, errors.Join(ctx.Err(), err))
		case <-e.node.cfg.Clock.After(chunkPause):
		}
	}
}

// receive takes a chunk. It returns why the chunk is refused, or nothing.
func (e *entries) receive(_ context.Context, p chunkParams) (string, error) {
	if self := e.node.control.View().Self(); p.To != self {
		return fmt.Sprintf("chunk for %s reached %s", p.To, self), nil
	}
	// Without a lease this host could not serve the entry; it stays where it is.
	if !e.node.control.Gate().Valid(e.node.cfg.Clock.Now()) {
		return "the host has no lease", nil
	}
	ids := e.node.router.IdempotencyTable()
	if ids == nil {
		return "", errNotReady
	}
	c, err := dedup.DecodeChunk(p.Chunk)
	if err == nil {
		_, err = ids.Import(c)
	}
	if err != nil {
		return err.Error(), nil
	}
	return "", nil
}
