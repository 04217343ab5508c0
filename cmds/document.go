package cmds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"burdocklift/conf"
	"burdocklift/store"
)

// historySlots bounds the superseded documents that are kept of each kind. A
// listing of 48 documents of 1 MB in base64 is 64.0 MB, just under the 67.1 MB
// that the store adapter reads.
const historySlots = 48

// historyPrefix is outside proto.Prefix, because nodes list all records under
// that and need no superseded documents.
const historyPrefix = "burdocklift-history/"

// writeAttempts bounds the attempts to learn the outcome of a write.
const writeAttempts = 8

// Reasons for which a document is not stored.
var (
	errConflict  = errors.New("the stored document was changed by another operator")
	errDangerous = errors.New("dangerous change refused, repeat with --force if it is intended")
	errStored    = errors.New("the stored document is not valid for this version of the program")
	errUnknown   = errors.New("the outcome of the write is unknown, read the document with get before trying again")
)

// documents reads and writes the stored documents of one kind. Before a
// document is replaced it is copied to its slot in the history, so that a crash
// between the two writes loses no accepted document.
type documents struct {
	store store.Store
	kind  conf.Kind
	pause func(ctx context.Context, attempt int) error
}

// stored is a document as it is in the store; index 0 means that there is none.
type stored struct {
	index uint64
	text  []byte
	head  conf.Head
	// broken says that the text cannot be read; the head is then made up.
	broken bool
}

func openDocuments(s store.Store, kind conf.Kind) *documents {
	return &documents{store: s, kind: kind, pause: pause}
}

// pause waits between attempts, for 100 ms at first and up to 2 s.
func pause(ctx context.Context, attempt int) error {
	t := time.NewTimer(min(2*time.Second, 100*time.Millisecond<<attempt))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *documents) slot(version uint64) string {
	return fmt.Sprintf("%s%s/%02d", historyPrefix, d.kind, version%historySlots)
}

func (d *documents) read(ctx context.Context, key string) (stored, error) {
	r, err := d.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	h, err := conf.ReadHead(r.Value)
	if err != nil {
		return stored{}, fmt.Errorf("%w: record %s: %v", errStored, key, err)
	}
	return stored{index: r.Index, text: r.Value, head: h}, nil
}

// current returns the document in force.
func (d *documents) current(ctx context.Context) (stored, error) {
	return d.read(ctx, d.kind.StoreKey())
}

// broken returns a document in force that cannot be read, as one that another
// program has written, so that it can be replaced. Its version is the highest
// of the readable history and of the edited document.
func (d *documents) broken(ctx context.Context, based uint64) (stored, error) {
	r, err := d.store.Get(ctx, d.kind.StoreKey())
	if err != nil {
		return stored{}, err
	}
	records, err := d.store.List(ctx, fmt.Sprintf("%s%s/", historyPrefix, d.kind))
	if err != nil {
		return stored{}, err
	}
	s := stored{index: r.Index, text: r.Value, head: conf.Head{Version: based}, broken: true}
	for _, old := range records {
		if h, err := conf.ReadHead(old.Value); err == nil {
			s.head.Version = max(s.head.Version, h.Version)
		}
	}
	return s, nil
}

// version returns the document in force or a superseded one by its version.
func (d *documents) version(ctx context.Context, n uint64) (stored, error) {
	s, err := d.current(ctx)
	if err == nil && (s.index == 0 || s.head.Version != n) {
		s, err = d.read(ctx, d.slot(n))
	}
	if err != nil {
		return stored{}, err
	}
	if s.index == 0 || s.head.Version != n {
		return stored{}, fmt.Errorf("version %d of the %s: %w", n, d.kind, store.ErrNotFound)
	}
	return s, nil
}

// history returns the superseded documents and the one in force, newest first.
func (d *documents) history(ctx context.Context) ([]stored, error) {
	now, err := d.current(ctx)
	if err != nil {
		return nil, err
	}
	records, err := d.store.List(ctx, fmt.Sprintf("%s%s/", historyPrefix, d.kind))
	if err != nil {
		return nil, err
	}
	var list []stored
	if now.index != 0 {
		list = append(list, now)
	}
	for _, r := range records {
		h, err := conf.ReadHead(r.Value)
		if err != nil {
			return nil, fmt.Errorf("%w: record %s: %v", errStored, r.Key, err)
		}
		// A crash before the second write leaves a copy of the document in force.
		if h.Version != now.head.Version {
			list = append(list, stored{index: r.Index, text: r.Value, head: h})
		}
	}
	slices.SortFunc(list, func(a, b stored) int { return int(int64(b.head.Version) - int64(a.head.Version)) })
	return list, nil
}

// replace stores a document as the successor of base and returns its head. The
// error is errConflict if base is no longer in force.
func (d *documents) replace(ctx context.Context, base stored, text []byte, author string) (stored, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return stored{}, fmt.Errorf("make a write identifier: %w", err)
	}
	h := conf.Head{Version: base.head.Version + 1, Author: author, Write: id.String()}
	text, err = conf.SetHead(text, h)
	if err != nil {
		return stored{}, err
	}
	if _, err := d.kind.Parse(string(d.kind), text); err != nil {
		return stored{}, err
	}
	if base.index != 0 && !base.broken {
		if err := d.archive(ctx, base); err != nil {
			return stored{}, err
		}
	}
	if err := d.swap(ctx, d.kind.StoreKey(), base.index, text, d.superseded(h)); err != nil {
		return stored{}, err
	}
	return stored{text: text, head: h}, nil
}

// archive copies a document in force to its slot of the history.
func (d *documents) archive(ctx context.Context, base stored) error {
	key := d.slot(base.head.Version)
	for {
		old, err := d.read(ctx, key)
		if err != nil {
			return fmt.Errorf("save version %d to the history: %w", base.head.Version, err)
		}
		switch {
		case bytes.Equal(old.text, base.text):
			return nil // by another operator, or before a crash
		case old.index != 0 && old.head.Version >= base.head.Version:
			return errConflict // base was superseded long ago
		}
		err = d.swap(ctx, key, old.index, base.text, nil)
		if !errors.Is(err, errConflict) {
			return err
		}
		// Another operator saved a document here; the next read shows which. A
		// slot only changes to a higher version, so this ends.
	}
}

// superseded tells whether a document was stored and then replaced: whoever
// replaced it had to copy it to the history first.
func (d *documents) superseded(h conf.Head) func(context.Context) (bool, error) {
	return func(ctx context.Context) (bool, error) {
		s, err := d.read(ctx, d.slot(h.Version))
		if err != nil {
			return false, err
		}
		if s.head.Version > h.Version {
			return false, errUnknown // the slot was used again since
		}
		return s.head.Write == h.Write, nil
	}
}

// swap writes a value at an index and returns nil once it is known to have
// taken effect, errConflict once it is known that it has not and cannot, and
// errUnknown if neither can be learned. Values differ from writer to writer, so
// an equal value that is read back means that the write took effect.
func (d *documents) swap(ctx context.Context, key string, index uint64, value []byte, superseded func(context.Context) (bool, error)) error {
	uncertain := false
	for attempt := range writeAttempts {
		if attempt > 0 {
			if err := d.pause(ctx, attempt-1); err != nil {
				break
			}
		}
		_, err := d.store.Swap(ctx, key, index, value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrUncertain):
			uncertain = true
		case errors.Is(err, store.ErrConflict):
		case !uncertain:
			return err // certainly not sent
		default:
			continue
		}
		r, err := d.store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			r, err = store.Record{}, nil
		}
		switch {
		case err != nil:
			uncertain = true // the conflict may be with our own lost write
			continue
		case bytes.Equal(r.Value, value):
			return nil
		case r.Index == index:
			continue // not written so far; writing again is safe at this index
		case !uncertain || superseded == nil:
			return errConflict
		}
		done, err := superseded(ctx)
		switch {
		case errors.Is(err, errUnknown):
			return err
		case err != nil:
			continue
		case done:
			return nil
		}
		return errConflict
	}
	if !uncertain {
		return errConflict
	}
	return errUnknown
}

// parse reads a stored document.
func (d *documents) parse(s stored) (conf.Document, error) {
	doc, err := d.kind.Parse(fmt.Sprintf("stored %s version %d", d.kind, s.head.Version), s.text)
	if err != nil {
		// The operator's input is not at fault, so this is no usage error.
		return nil, fmt.Errorf("%w:\n%s", errStored, err)
	}
	return doc, nil
}
