package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
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
	hasPrefix := func(prefix string) bool {
		return slices.ContainsFunc(fresh, func(it store.Item) bool { return strings.HasPrefix(it.Key, prefix) })
	}
	if hasPrefix(prefixMember) {
		f.members = maps.Clone(f.members)
	}
	if hasPrefix(prefixRanges) {
		f.ranges = maps.Clone(f.ranges)
	}
	var started []string
	for _, it := range fresh {
		isNew, err := f.applyRecord(it, from)
		if err != nil {
			event.RecordInvalid.Log(context.Background(), f.cfg.Log,
				slog.String("key", it.Key), slog.Uint64("rev", it.Rev), slog.String("error", err.Error()))
		}
		if isNew {
			started = append(started, strings.TrimPrefix(it.Key, prefixMember))
		}
	}
	f.logStarted(started)
	f.publish()
}

// maxLoggedMembers bounds the names in one line. When all nodes of a site start, each
// reads the records of all others.
const maxLoggedMembers = 16

// logStarted logs the nodes whose new runs were read at once.
func (f *Fleet) logStarted(names []string) {
	if len(names) == 0 {
		return
	}
	eventMembersSeen.Log(context.Background(), f.cfg.Log, slog.Int("count", len(names)),
		slog.String("members", strings.Join(names[:min(len(names), maxLoggedMembers)], " ")), slog.Uint64("rev", f.knownRev))
}

// applyListing applies a complete listing of the records with a prefix. Known records that
// are missing from it were removed, unless they are newer than the listing.
func (f *Fleet) applyListing(items []store.Item, prefix string, rev uint64) {
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Key] = true
	}
	for key, it := range f.items {
		if key != f.cfg.RulesKey && strings.HasPrefix(key, prefix) && !listed[key] && !it.Removed && it.Rev <= rev {
			items = append(items, store.Item{Key: key, Rev: rev + 1, Removed: true})
		}
	}
	f.applyRecords(items, fromList)
	f.synced, f.eras.relisting = true, false
	f.eras.listed.Store(true)
}

// applyRecord applies a record. It reports whether that is of a new node or of a new run
// of a known one.
func (f *Fleet) applyRecord(it store.Item, from source) (started bool, err error) {
	if it.Key == f.cfg.RulesKey {
		f.applyRules(it, from)
		return false, nil
	}
	if f.isEvacuation(it.Key) {
		return false, f.applyEvacuation(it, from)
	}
	if service, ok := strings.CutPrefix(it.Key, prefixRanges); ok {
		if it.Removed {
			delete(f.ranges, service)
			return false, nil
		}
		m, err := span.Decode(it.Value)
		if err != nil {
			return false, err
		}
		f.adoptRanges(service, m, it.Rev)
		return false, nil
	}
	if name, ok := strings.CutPrefix(it.Key, prefixCrashes); ok {
		return false, f.applyCrashes(name, it)
	}
	name, ok := strings.CutPrefix(it.Key, prefixMember)
	if !ok {
		return false, fmt.Errorf("%w: key has an unknown prefix", ErrRecord)
	}
	f.eras.recordedAt[name] = f.cfg.Clock.Elapsed()
	if it.Removed {
		if name == f.cfg.Name {
			f.startNewRun(f.members[name]) // only records of ended runs are removed
		}
		delete(f.members, name)
		return false, nil
	}
	m, err := decodeMember(it.Key, it.Value)
	if err != nil {
		return false, err
	}
	old, known := f.members[name]
	if name == f.cfg.Name {
		f.eras.ownReplaced = !f.presentEra(m.Era)
	}
	delete(f.eras.laterRun, name)
	if known && f.keepMember(old, m) {
		if old.Run > m.Run {
			f.eras.laterRun[name] = true
		}
		return false, nil
	}
	f.members[name] = m
	if name == f.cfg.Name {
		f.restarted = f.restarted || m.Run != f.run
		f.inheritLeaving(m)
		f.inheritLimit(m)
		if m.Revoked {
			f.startNewRun(m)
		}
	}
	return !known || old.Run != m.Run, nil
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
	f.setPolicy()
	event.ConfigurationAccepted.Log(ctx, f.cfg.Log, slog.Uint64("version", set.Version()), slog.Uint64("rev", it.Rev),
		slog.String("source", string(from)))
}
