package dedup

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	// chunkOverhead bounds the encoded size of a chunk without its entries.
	chunkOverhead = 64
	// entrySize bounds the encoded size of an entry without an answer: id and
	// digest of 17 bytes each, array header, state and an empty answer.
	entrySize = 40
)

// chunkEntry is an id in a handover chunk.
type chunkEntry struct {
	_      struct{} `cbor:",toarray"`
	ID     uuid.UUID
	Digest Digest
	Answer *Answer // nil if the request may have run and the answer is lost
}

// Chunk is one message of a handover. All chunks of a shard and epoch come from the
// single owner of the previous epoch, which serves nothing after the export. They
// may arrive in any order and more than once.
type Chunk struct {
	Shard   uint32       `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"` // epoch of the next owner
	Part    int          `cbor:"3,keyasint"`
	Parts   int          `cbor:"4,keyasint"`
	Floor   int64        `cbor:"5,keyasint"` // Unix time in nanoseconds
	Entries []chunkEntry `cbor:"6,keyasint"`
}

// Encode returns the CBOR encoding of the chunk.
func (c *Chunk) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode handover of shard %d: %w", c.Shard, err)
	}
	return b, nil
}

// ForIsolatedKey returns a copy of the chunk for a hot key that is isolated from
// the shard, with the key's own shard number and first epoch. The compare-and-swap
// that isolates the key raises the shard's epoch too, so that no request for the
// key runs under the shard's entries after the export.
func (c *Chunk) ForIsolatedKey(hot uint32, epoch uint64) *Chunk {
	d := *c
	d.Shard, d.Epoch = hot, epoch
	return &d
}

// DecodeChunk decodes a chunk from CBOR.
func DecodeChunk(b []byte) (*Chunk, error) {
	var c Chunk
	if err := cbor.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("decode handover: %w: %w", ErrInvalid, err)
	}
	return &c, nil
}

// staging holds the chunks of a handover until all of them have been received.
type staging struct {
	epoch       uint64
	parts       []*Chunk
	received    int
	entries     int
	answerBytes int
}

// complete reports whether all chunks of the epoch have been received.
func (g *staging) complete(epoch uint64) bool {
	return g != nil && g.epoch == epoch && g.received == len(g.parts)
}

// Export stops serving a shard's epoch and returns the shard's entries for the owner
// of the next epoch, in chunks of at most MaxChunk bytes. It fails while requests
// are in flight. The epoch cannot be served again: an owner that cancels the move
// must take the next epoch itself, as a takeover by the receiver of the chunks
// would miss requests that ran after the export. Repeated exports return the same
// chunks.
func (t *Table) Export(shard uint32, epoch uint64) ([]*Chunk, error) {
	s, unlock := t.lockShard(shard)
	defer unlock()
	switch {
	case s.epoch != epoch || !s.complete:
		return nil, fmt.Errorf("export shard %d at epoch %d: %w: table is at epoch %d", shard, epoch, ErrNotOwner, s.epoch)
	case s.runningCount > 0:
		return nil, fmt.Errorf("export shard %d: %w: %d", shard, ErrInFlight, s.runningCount)
	}
	s.frozen = true
	var entries []chunkEntry
	for _, ids := range s.spans {
		for id, e := range ids {
			entries = append(entries, chunkEntry{ID: id, Digest: e.digest, Answer: e.answer})
		}
	}
	slices.SortFunc(entries, func(a, b chunkEntry) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	floor := int64(0)
	if !s.floor.IsZero() {
		floor = s.floor.UnixNano()
	}
	chunks := []*Chunk{{}}
	size := chunkOverhead
	for _, m := range entries {
		n := entrySize
		if m.Answer != nil {
			n += m.Answer.Size()
		}
		if size+n > t.cfg.MaxChunk {
			chunks = append(chunks, &Chunk{})
			size = chunkOverhead
		}
		last := chunks[len(chunks)-1]
		last.Entries = append(last.Entries, m)
		size += n
	}
	for i, c := range chunks {
		c.Shard, c.Epoch, c.Part, c.Parts, c.Floor = shard, epoch+1, i, len(chunks), floor
	}
	return chunks, nil
}

// Import stages a chunk and reports whether the handover is complete. Staged chunks
// take effect when the epoch is served. A chunk that exceeds the bounds is refused
// with ErrFull; the shard should then move to another host.
func (t *Table) Import(c *Chunk) (bool, error) {
	if c.Parts < 1 || c.Part < 0 || c.Part >= c.Parts || c.Parts > t.cfg.MaxEntries+1 {
		return false, fmt.Errorf("import shard %d: %w: part %d of %d", c.Shard, ErrInvalid, c.Part, c.Parts)
	}
	s, unlock := t.lockShard(c.Shard)
	defer unlock()
	if c.Epoch <= s.epoch || s.staged != nil && c.Epoch < s.staged.epoch {
		return false, fmt.Errorf("import shard %d at epoch %d: %w: %d", c.Shard, c.Epoch, ErrStale, s.epoch)
	}
	if s.staged == nil || s.staged.epoch < c.Epoch {
		t.discardStaged(s)
		s.staged = &staging{epoch: c.Epoch, parts: make([]*Chunk, c.Parts)}
	}
	g := s.staged
	if len(g.parts) != c.Parts {
		return false, fmt.Errorf("import shard %d: %w: %d parts, earlier %d", c.Shard, ErrInvalid, c.Parts, len(g.parts))
	}
	if g.parts[c.Part] != nil {
		return g.complete(c.Epoch), nil
	}
	memory := 0
	for _, m := range c.Entries {
		if m.Answer != nil {
			memory += m.Answer.Size()
		}
	}
	if t.entries.Add(int64(len(c.Entries))) > int64(t.cfg.MaxEntries) || !t.reserveBytes(memory) {
		t.entries.Add(-int64(len(c.Entries)))
		return false, fmt.Errorf("import shard %d, %d entries, %d bytes: %w", c.Shard, len(c.Entries), memory, ErrFull)
	}
	g.parts[c.Part] = c
	g.received++
	g.entries += len(c.Entries)
	g.answerBytes += memory
	if g.complete(c.Epoch) && s.awaitedEpoch == c.Epoch {
		// The requests woken here call Begin again, which serves the epoch.
		s.endAwait(c.Epoch)
		return true, nil
	}
	return g.complete(c.Epoch), nil
}

// installStaged replaces the entries by the staged ones, which are already counted
// against the bounds. It never lowers the floor.
func (t *Table) installStaged(s *shardState) {
	t.clearEntries(s)
	for _, c := range s.staged.parts {
		if c.Floor != 0 {
			s.raiseFloor(time.Unix(0, c.Floor))
		}
		for _, m := range c.Entries {
			e := entry{digest: m.Digest, answer: m.Answer, state: uncertain}
			if m.Answer != nil {
				e.state = answered
			}
			s.putEntry(timestampOf(m.ID).UnixMilli()/t.spanMillis, m.ID, e)
		}
	}
	s.staged = nil
}

// discardStaged frees staged chunks that will not be installed.
func (t *Table) discardStaged(s *shardState) {
	if s.staged == nil {
		return
	}
	t.entries.Add(-int64(s.staged.entries))
	t.answerBytes.Add(-int64(s.staged.answerBytes))
	s.staged = nil
}
