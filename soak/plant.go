package main

import (
	"context"
	"sync"
	"time"

	"burdocklift/platform"
	"burdocklift/platform/stand"
	"burdocklift/store"
)

// Plants are faults that a run can be given to show that its checks find them. They
// stand for faults of a node, and act where its bytes pass: in the stand-ins of the
// store and the target.
var Plants = []string{"resend", "refuse", "truncate", "hold", "rules", "drain", "linger"}

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
	case "drain":
		return &stand.Fault{HideDrain: true}
	}
	return nil
}

// plantStore returns a ledger that now and then tells old rules, if that is the
// fault.
func plantStore(plant string, l store.Ledger) store.Ledger {
	if plant != "rules" {
		return l
	}
	return &heldRules{Ledger: l}
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
