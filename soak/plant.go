package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"burdocklift/platform"
	"burdocklift/platform/stand"
	"burdocklift/store"
)

// Plants are faults that a run can be given to show that its checks find them. They
// stand for faults of a node, and act where its bytes pass: in the stand-ins of the
// store and the target.
var Plants = []string{"resend", "refuse", "truncate", "hold", "rules", "drain", "linger", "limit", "late"}

// plantTarget returns the fault of a target, or nil.
func plantTarget(plant string) *stand.Fault {
	switch plant {
	case "resend":
		return &stand.Fault{Resend: true}
	case "refuse":
		return &stand.Fault{Refuse: true}
	case "truncate":
		return &stand.Fault{Truncate: true}
	case "hold":
		return &stand.Fault{HoldFactor: 4}
	case "linger":
		return &stand.Fault{Linger: true}
	case "limit":
		return &stand.Fault{HideLimit: true}
	case "drain":
		return &stand.Fault{HideDrain: true}
	}
	return nil
}

// plantStore returns a ledger that now and then tells old rules, if that is the
// fault.
func plantStore(plant string, l store.Ledger) store.Ledger {
	switch plant {
	case "rules":
		return &heldRules{Ledger: l}
	case "late":
		return &lateChanges{Ledger: l}
	}
	return l
}

// changeDelay is how late lateChanges tells of changes.
const changeDelay = 4 * time.Second

// lateChanges answers calls for changes late.
type lateChanges struct {
	store.Ledger
	mu   sync.Mutex
	seen map[uint64]time.Time // when each revision of the rules was read first
}

func (l *lateChanges) firstSeen(rev uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[uint64]time.Time)
	}
	if l.seen[rev].IsZero() {
		l.seen[rev] = time.Now()
	}
	return l.seen[rev]
}

// Changes implements store.Ledger.
func (l *lateChanges) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	items, rev, err := l.Ledger.Changes(ctx, prefix, after, wait)
	held := func(it store.Item) bool {
		return it.Key == platform.RulesKey && time.Since(l.firstSeen(it.Rev)) < changeDelay
	}
	if slices.ContainsFunc(items, held) {
		return nil, after, err
	}
	return items, rev, err
}

// rulesPeriod is the time for which heldRules tells the first rules that it saw,
// with a fresh version, after the same time with the newest ones.
const rulesPeriod = 3 * time.Second

// heldRules replaces new rules by the first ones under the new version.
type heldRules struct {
	store.Ledger
	once  sync.Once
	begun time.Time
}

var _ store.Ledger = (*heldRules)(nil)

func (h *heldRules) old() bool {
	h.once.Do(func() { h.begun = time.Now() })
	return time.Since(h.begun)/rulesPeriod%2 == 1
}

func (h *heldRules) replace(items []store.Item) []store.Item {
	out := append([]store.Item(nil), items...)
	for i, it := range out {
		if it.Key == platform.RulesKey && h.old() {
			out[i].Value = stand.TruncateRoutes(it.Value)
		}
	}
	return out
}

// ReadAll implements store.Ledger.
func (h *heldRules) ReadAll(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	items, rev, err := h.Ledger.ReadAll(ctx, prefix)
	return h.replace(items), rev, err
}

// Changes implements store.Ledger.
func (h *heldRules) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	items, rev, err := h.Ledger.Changes(ctx, prefix, after, wait)
	return h.replace(items), rev, err
}
