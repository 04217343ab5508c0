package fleet

import (
	"time"

	"burdocklift/place"
	"burdocklift/rules"
	"burdocklift/span"
)

// View is an immutable snapshot of what a node knows about its site.
type View struct {
	rules     *rules.Set
	policy    *place.Policy
	members   map[string]Member
	order     []string // names of members, sorted
	ranges    map[string]span.Map
	local     localTarget
	rightEnds map[string]time.Duration
	restarted bool
	// vanishedUntil is when records of operators that a restored store lacks cease to apply.
	vanishedUntil time.Duration
	changed       chan struct{}
	// coldFactor and coldSlack are those of Config.
	coldFactor, coldSlack float64
}

// Rules returns the rules in force, or nil if none are known yet.
func (v *View) Rules() *rules.Set { return v.rules }

// HasKeys reports whether a service is known to have keys that targets own.
func (v *View) HasKeys(service string) bool {
	if _, owned := v.ranges[service]; owned || v.rules == nil {
		return owned
	}
	s, _ := v.rules.Service(service)
	return s.Sharded
}

// Policy returns what restricts the placement of work.
func (v *View) Policy() *place.Policy { return v.policy }

// Member returns a node by name.
func (v *View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Members calls a function for each node, in the order of names.
func (v *View) Members(f func(m Member)) {
	for _, name := range v.order {
		f(v.members[name])
	}
}

// Changed returns a channel that is closed when a newer view is published.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Owner returns the range that contains a key and the node beside its owner.
func (v *View) Owner(service string, key int) (span.Range, Member, bool) {
	r, ok := v.ranges[service].Find(key)
	if !ok {
		return span.Range{}, Member{}, false
	}
	m, ok := v.members[r.Node]
	return r, m, ok
}

// KeyOwners returns the nodes whose targets own keys.
func (v *View) KeyOwners() map[string]bool {
	owners := make(map[string]bool)
	for _, m := range v.ranges {
		for _, r := range m.Ranges {
			owners[r.Node] = true
		}
	}
	return owners
}

// PriorRightsEnd returns the latest end of the revoked rights of a range's earlier owners,
// after which the owner may hold the range. It reports false while an end is not known.
func (v *View) PriorRightsEnd(r span.Range) (time.Duration, bool) {
	latest := time.Duration(0)
	for _, p := range r.Prior {
		at, ok := v.rightEnds[p.Node]
		if !ok {
			return 0, false
		}
		latest = max(latest, at)
	}
	return latest, latest > 0
}

// Restarted reports whether the store has a record of an earlier run of this node. It is
// known before the rules.
func (v *View) Restarted() bool { return v.restarted }

// VanishedStayFor returns for how much longer records of operators stay in force that are
// missing since the store was restored from an older copy.
func (v *View) VanishedStayFor(now time.Duration) time.Duration { return max(v.vanishedUntil-now, 0) }

// Target returns the target beside this node, or nil.
func (v *View) Target() *Target { return v.local.target() }

// Holds reports whether the target beside this node may run requests for the
// key at the given time.
func (v *View) Holds(key int, now time.Duration) bool { return v.local.holds(key, now) }

// NodeCount returns the number of nodes.
func (v *View) NodeCount() int { return len(v.order) }

// LeavingFor returns for how long the target beside this node has been known to leave, or
// zero if it stays.
func (v *View) LeavingFor(now time.Duration) time.Duration {
	if !v.local.present || v.local.leavingSince == 0 {
		return 0
	}
	return max(now-v.local.leavingSince, 1)
}
