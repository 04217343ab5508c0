package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"strings"

	"burdocklift/event"
	"burdocklift/rules"
	"burdocklift/span"
	"burdocklift/store"
)

// source is where a node got a record from, as it is logged.
type source string

const (
	fromWatch source = "watch"
	fromList  source = "list"
	fromRead  source = "read"  // single records
	fromWrite source = "write" // of this node
	fromRelay source = "relay"
	fromCopy  source = "copy" // of what a node of another data centre knows
)

// applyRecords applies stored records and ignores older revisions. A record that cannot be
// decoded leaves the last valid one in place.
func (f *Fleet) applyRecords(items []store.Item, from source) {
	var fresh []store.Item
	for _, it := range items {
		if old, ok := f.items[it.Key]; ok && old.Rev >= it.Rev {
			continue
		}
		f.items[it.Key] = it
		fresh = append(fresh, it)
	}
	if len(fresh) == 0 {
		return
	}
	// Views share the maps, so these are replaced and not changed.
	f.members, f.ranges = maps.Clone(f.members), maps.Clone(f.ranges)
	for _, it := range fresh {
		if err := f.applyRecord(it, from); err != nil {
			event.RecordInvalid.Log(context.Background(), f.cfg.Log,
				slog.String("key", it.Key), slog.Uint64("rev", it.Rev), slog.String("error", err.Error()))
		}
	}
	f.publish()
}

// applyListing applies a complete listing of this system's records. Known records that are
// missing from it were removed, unless they are newer than the listing.
func (f *Fleet) applyListing(items []store.Item, rev uint64) {
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Key] = true
	}
	for key, it := range f.items {
		if key != f.cfg.RulesKey && !listed[key] && !it.Removed && it.Rev <= rev {
			items = append(items, store.Item{Key: key, Rev: rev + 1, Removed: true})
		}
	}
	f.applyRecords(items, fromList)
	f.synced = true
}

func (f *Fleet) applyRecord(it store.Item, from source) error {
	if it.Key == f.cfg.RulesKey {
		f.applyRules(it, from)
		return nil
	}
	if service, ok := strings.CutPrefix(it.Key, prefixRanges); ok {
		if it.Removed {
			delete(f.ranges, service)
			return nil
		}
		m, err := span.Decode(it.Value)
		if err != nil {
			return err
		}
		f.noteRangeChange(service, f.ranges[service], m, it.Rev)
		f.ranges[service] = m
		return nil
	}
	name, ok := strings.CutPrefix(it.Key, prefixMember)
	if !ok {
		return fmt.Errorf("%w: key has an unknown prefix", ErrRecord)
	}
	if it.Removed {
		if name == f.cfg.Name {
			f.startNewRun(f.members[name]) // only records of ended runs are removed
		}
		delete(f.members, name)
		return nil
	}
	m, err := decodeMember(it.Key, it.Value)
	if err != nil {
		return err
	}
	if old, ok := f.members[name]; !ok || old.Run != m.Run {
		eventMemberSeen.Log(context.Background(), f.cfg.Log, slog.String("member", name), slog.Uint64("rev", it.Rev))
	}
	f.members[name] = m
	if name == f.cfg.Name {
		f.inheritLeaving(m)
		f.inheritLimit(m)
		if m.Revoked {
			f.startNewRun(m)
		}
	}
	return nil
}

// applyRules applies new rules. Invalid, removed or older rules leave those in force.
func (f *Fleet) applyRules(it store.Item, from source) {
	ctx := context.Background()
	if it.Removed {
		event.ConfigurationRefused.Log(ctx, f.cfg.Log, slog.String("error", "rules record was removed"), slog.Uint64("rev", it.Rev))
		return
	}
	set, err := f.cfg.Rules(it.Value)
	if err == nil && f.rules != nil && set.Version() < f.rules.Version() {
		err = fmt.Errorf("%w: version %d is older than %d", rules.ErrInvalid, set.Version(), f.rules.Version())
	}
	if err != nil {
		event.ConfigurationRefused.Log(ctx, f.cfg.Log, slog.String("error", err.Error()), slog.Uint64("rev", it.Rev))
		return
	}
	f.rules = set
	event.ConfigurationAccepted.Log(ctx, f.cfg.Log, slog.Uint64("version", set.Version()), slog.Uint64("rev", it.Rev),
		slog.String("source", string(from)))
}
