package span

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "burdocklift/seeds"
)

func owner(i int) Owner {
	return Owner{Incarnation: Incarnation{Target: fmt.Sprint("t", i), StartedAt: 1}, Node: fmt.Sprint("n", i), Capacity: 1}
}

// releaseAll applies the release of all keys of an incarnation.
func releaseAll(m *Map, inc Incarnation, token string) bool {
	changed := false
	for _, r := range slices.Clone(m.Ranges) {
		changed = m.ApplyRelease(Release{From: r.From, To: r.To, Epoch: r.Epoch, Incarnation: inc, Token: token}) || changed
	}
	return changed
}

func even() CumulativeLoad {
	var l Load
	return l.Cumulative(0)
}

func assertValid(t interface {
	Helper()
	Fatalf(string, ...any)
}, m Map,
) {
	t.Helper()
	if err := m.Check(); err != nil {
		t.Fatalf("%v", err)
	}
}

// Guards against gaps, overlaps and epochs that do not increase, under any order
// of moves, releases, restarts, merges and joins.
func TestChangesKeepMapValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Map
		Plan(&m, []Owner{owner(0), owner(1), owner(2)}, even)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := m.Clone()
			from := rapid.IntRange(0, MaxKey).Draw(t, "from")
			to := rapid.IntRange(from, MaxKey).Draw(t, "to")
			o := owner(rapid.IntRange(0, 4).Draw(t, "owner"))
			switch rapid.IntRange(0, 6).Draw(t, "change") {
			case 0:
				m.Move(from, to, o.Incarnation, o.Node)
			case 1:
				r, _ := m.Find(from)
				m.ApplyRelease(Release{From: from, To: to, Epoch: r.Epoch, Incarnation: o.Incarnation, Token: "token"})
			case 2:
				m.ReplaceSuperseded(o.Node, Incarnation{Target: o.Incarnation.Target, StartedAt: 2})
			case 3:
				m.Merge()
			case 6:
				all := []Owner{owner(0), owner(1), owner(2), owner(3), owner(4)}
				joinAbove(&m, all, even(), rapid.IntRange(0, 3).Draw(t, "limit"))
			case 4:
				m.SetNextOwner(from, to, o.Incarnation, o.Node)
			case 5: // release by the present owner
				r, _ := m.Find(from)
				m.ApplyRelease(Release{From: from, To: to, Epoch: r.Epoch, Incarnation: r.Owner})
			}
			assertValid(t, m)
			for _, key := range []int{0, from, to, MaxKey} {
				old, _ := before.Find(key)
				now, ok := m.Find(key)
				if !ok {
					t.Fatalf("key %d has no range", key)
				}
				if old.Owner != now.Owner && now.Epoch <= old.Epoch {
					t.Fatalf("key %d went from %v to %v with epoch %d after %d", key, old.Owner, now.Owner, now.Epoch, old.Epoch)
				}
			}
		}
		b, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(b)
		if err != nil || len(again.Ranges) != len(m.Ranges) {
			t.Fatalf("decoded %d of %d ranges: %v", len(again.Ranges), len(m.Ranges), err)
		}
	})
}

// Guards against a new owner that may hold keys before all prior owners have
// released them.
func TestOwnerWaitsForAllPrior(t *testing.T) {
	var m Map
	Plan(&m, []Owner{owner(0)}, even)
	m.Move(0, 99, owner(1).Incarnation, "n1")
	m.Move(0, 99, owner(2).Incarnation, "n2")
	r, _ := m.Find(50)
	if len(r.Prior) != 2 || r.PriorReleased() {
		t.Fatalf("prior owners are %v", r.Prior)
	}
	releaseAll(&m, owner(1).Incarnation, "")
	if r, _ = m.Find(50); r.PriorReleased() {
		t.Error("range may be held while its first owner has not released it")
	}
	releaseAll(&m, owner(0).Incarnation, "token")
	if r, _ = m.Find(50); !r.PriorReleased() || r.Token != "token" {
		t.Errorf("range is %+v after all have released it", r)
	}
}

// Guards against keys that stay with lost targets, and against a plan that moves
// keys of targets that stay.
func TestPlanReplacesLostOwners(t *testing.T) {
	var m Map
	Plan(&m, []Owner{owner(0), owner(1), owner(2), owner(3)}, even)
	before := m.Clone()
	if !Plan(&m, []Owner{owner(0), owner(2), owner(3)}, even) {
		t.Fatal("the plan changed nothing")
	}
	assertValid(t, m)
	for _, r := range m.Ranges {
		old, _ := before.Find(r.From)
		if r.Owner == owner(1).Incarnation {
			t.Errorf("keys %d to %d stay at a lost target", r.From, r.To)
		}
		if old.Owner != owner(1).Incarnation && old.Owner != r.Owner {
			t.Errorf("keys %d to %d moved from %v, which stays", r.From, r.To, old.Owner)
		}
	}
	for name, n := range ownedBy(m) {
		if n > (MaxKey+1)*4/10 {
			t.Errorf("%s owns %d keys", name, n)
		}
	}
}

// Guards against imbalance that persists when busy keys are close together, and
// against moves of a single busy key, which only shift the load.
func TestBalance(t *testing.T) {
	owners := []Owner{owner(0), owner(1), owner(2), owner(3)}
	t.Run("busy neighbours are split", func(t *testing.T) {
		var m Map
		Plan(&m, owners, even)
		var l Load
		for key := range 400 {
			l.Add(key, 2, 0)
		}
		for range 6 {
			Balance(&m, owners, l.Cumulative(0))
		}
		assertValid(t, m)
		// All handovers complete, as no request is in flight.
		for _, o := range owners {
			releaseAll(&m, o.Incarnation, "")
		}
		assertImbalance(t, m, owners, l.Cumulative(0), 1.3)
	})
	t.Run("one busy key stays", func(t *testing.T) {
		var m Map
		Plan(&m, owners, even)
		var l Load
		l.Add(7, 500, 0)
		before, _ := m.Find(7)
		for range 6 {
			Balance(&m, owners, l.Cumulative(0))
		}
		assertValid(t, m)
		if r, _ := m.Find(7); r.Owner != before.Owner {
			t.Errorf("the busy key moved to %v", r.Owner)
		}
	})
	t.Run("others are balanced beside a busy key", func(t *testing.T) {
		var eight []Owner
		for i := range 8 {
			eight = append(eight, owner(i))
		}
		var m Map
		Plan(&m, eight, even)
		var l Load
		const hot = 100 // a key of the first owner, busier than all others together
		l.Add(hot, 1600, 0)
		for key := range 200 { // beside it
			l.Add(key, 0.5, 0)
		}
		third := 3 * (MaxKey + 1) / 8
		for key := third; key < third+400; key++ { // busy neighbours of another owner
			l.Add(key, 2, 0)
		}
		for range 6 {
			Balance(&m, eight, l.Cumulative(0))
			for _, o := range eight {
				releaseAll(&m, o.Incarnation, "")
			}
		}
		assertValid(t, m)
		w := l.Cumulative(0)
		rest := make(map[string]float64) // load without the busy key, by target
		for _, r := range m.Ranges {
			rest[r.Owner.Target] += w.Between(r.From, r.To)
		}
		busy, _ := m.Find(hot)
		rest[busy.Owner.Target] -= w.Between(hot, hot)
		mean := (w.Between(0, MaxKey) - w.Between(hot, hot)) / 7
		for target, load := range rest {
			limit := 1.3 * mean
			if target == busy.Owner.Target {
				limit = 0.3 * mean
			}
			if load > limit {
				t.Errorf("target %s has a load of %.0f besides the busy key, want %.0f at most", target, load, limit)
			}
		}
	})
	t.Run("a new target gets keys of evenly busy ones", func(t *testing.T) {
		var m Map
		Plan(&m, owners, even)
		var l Load
		for key := 0; key <= MaxKey; key += 64 {
			l.Add(key, 1, 0)
		}
		more := append(slices.Clone(owners), owner(4))
		for range 3 {
			Balance(&m, more, l.Cumulative(0))
			for _, o := range more {
				releaseAll(&m, o.Incarnation, "")
			}
		}
		assertValid(t, m)
		assertImbalance(t, m, more, l.Cumulative(0), 1.3)
		if n := ownedBy(m)[owner(4).Incarnation.Target]; n < (MaxKey+1)/10 {
			t.Errorf("the new target owns %d keys", n)
		}
	})
	t.Run("even load stays", func(t *testing.T) {
		var m Map
		Plan(&m, owners, even)
		var l Load
		for key := 0; key <= MaxKey; key += 64 {
			l.Add(key, 1, 0)
		}
		if Balance(&m, owners, l.Cumulative(0)) {
			t.Error("keys moved without need")
		}
	})
}

// ownedBy returns how many keys each target owns.
func ownedBy(m Map) map[string]int {
	owned := make(map[string]int)
	for _, r := range m.Ranges {
		owned[r.Owner.Target] += r.To - r.From + 1
	}
	return owned
}

func assertImbalance(t *testing.T, m Map, owners []Owner, w CumulativeLoad, limit float64) {
	t.Helper()
	b := newBalancer(&m, owners, w)
	if use := b.utilization(b.mostUtilized()) / b.meanUtilization; use > limit {
		t.Errorf("the busiest target has %.2f times the mean utilization", use)
	}
}

// Guards against keys that stay with a target that leaves or is lost after a next
// owner was planned for them.
func TestPlanWithNextOwner(t *testing.T) {
	leaving := owner(1)
	leaving.Leaving = true
	planned := func() Map {
		var m Map
		Plan(&m, []Owner{owner(0), owner(1), owner(2), owner(3)}, even)
		Plan(&m, []Owner{owner(0), leaving, owner(2), owner(3)}, even)
		return m
	}
	t.Run("a leaving owner serves until it releases them", func(t *testing.T) {
		m := planned()
		r, _ := m.Find((MaxKey + 1) / 4)
		if r.Owner != owner(1).Incarnation || !r.HasNextOwner() || r.Next.Incarnation == owner(1).Incarnation {
			t.Fatalf("range is %+v", r)
		}
		next := r.Next
		if !releaseAll(&m, owner(1).Incarnation, "token") {
			t.Fatal("the release changed nothing")
		}
		assertValid(t, m)
		if r, _ = m.Find(r.From); r.Owner != next.Incarnation || r.Node != next.Node || !r.PriorReleased() || r.Token != "token" || r.HasNextOwner() {
			t.Errorf("range is %+v, want owner %v", r, next)
		}
	})
	t.Run("a next owner that is lost is replaced", func(t *testing.T) {
		m := planned()
		Plan(&m, []Owner{leaving, owner(3)}, even)
		for _, r := range m.Ranges {
			if r.finalOwner() != owner(3).Incarnation {
				t.Errorf("keys %d to %d go to %v", r.From, r.To, r.finalOwner())
			}
		}
	})
	t.Run("the next owner of a lost owner waits for its release", func(t *testing.T) {
		m := planned()
		Plan(&m, []Owner{owner(0), owner(2), owner(3)}, even)
		for _, r := range m.Ranges {
			if r.Owner == owner(1).Incarnation || r.HasNextOwner() {
				t.Errorf("range %+v stays", r)
			}
		}
		if r, _ := m.Find((MaxKey + 1) / 4); len(r.Prior) != 1 || r.Prior[0].Incarnation != owner(1).Incarnation {
			t.Errorf("range %+v does not wait for its lost owner", r)
		}
	})
}

// Guards against a late release that applies to keys whose owner has changed since.
func TestLateRelease(t *testing.T) {
	var m Map
	Plan(&m, []Owner{owner(0), owner(1)}, even)
	r, _ := m.Find(0)
	m.SetNextOwner(0, 99, owner(1).Incarnation, owner(1).Node)
	late := Release{From: 0, To: 99, Epoch: r.Epoch, Incarnation: owner(0).Incarnation, Token: "token"}
	if !m.ApplyRelease(late) {
		t.Fatal("the release of keys with a next owner changed nothing")
	}
	m.Move(0, 99, owner(0).Incarnation, owner(0).Node) // waits for the other owner
	m.Move(0, 99, owner(1).Incarnation, owner(1).Node)
	if r, _ = m.Find(0); m.ApplyRelease(late) {
		t.Errorf("a late release applied to range %+v", r)
	}
}

// Guards against moving keys away from the target of a restarting node on an
// overloaded site, which would lose that target's capacity.
func TestHasHeadroom(t *testing.T) {
	owners := []Owner{owner(0), owner(1), owner(2)}
	for i := range owners {
		owners[i].Capacity = 50
	}
	owners[1].Stopping = true
	for name, c := range map[string]struct {
		perSecond float64
		want      bool
	}{"normal load": {60, true}, "overloaded": {100, false}} {
		t.Run(name, func(t *testing.T) {
			var l Load
			at := time.Duration(0)
			for ; at < 20*time.Second; at += time.Second {
				l.Add(7, c.perSecond, at)
			}
			if got := HasHeadroom(owners, l.Total(at)); got != c.want {
				t.Errorf("headroom for %v requests a second is %v, want %v", c.perSecond, got, c.want)
			}
		})
	}
}

// Guards against records of larger sites that are too large to be relayed, and
// against panics or wrong errors for corrupt records.
func TestStoredForm(t *testing.T) {
	var owners []Owner
	for i := range 56 {
		o := owner(i)
		o.Incarnation.Target, o.Incarnation.StartedAt, o.Node = fmt.Sprintf("i-%010x", 7919*i), 1_793_109_946_510+int64(i), fmt.Sprintf("sidecar-andoni-%d", i)
		owners = append(owners, o)
	}
	var m Map
	Plan(&m, owners, even)
	for i := range 400 { // moves, two of three of which are released
		from := i * 163
		m.Move(from, from+100, owners[i%56].Incarnation, owners[i%56].Node)
		r, _ := m.Find(from)
		if i%3 > 0 && len(r.Prior) > 0 {
			m.ApplyRelease(Release{From: from, To: from + 100, Epoch: r.Epoch, Incarnation: r.Prior[0].Incarnation, Token: fmt.Sprintf("%016x", i*i)})
		}
	}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Ranges) != len(m.Ranges) || !slices.EqualFunc(got.Ranges, m.Ranges, Range.same) {
		t.Error("the decoded record differs from the encoded one")
	}
	if t.Logf("%d ranges have %d bytes", len(m.Ranges), len(b)); len(b) > 16<<10 {
		t.Errorf("record has %d bytes", len(b))
	}
	for _, bad := range [][]byte{nil, {deflatedPrefix}, b[:len(b)/2], append([]byte{deflatedPrefix}, 0xff, 0xff)} {
		if _, err := Decode(bad); !errors.Is(err, ErrInvalid) {
			t.Errorf("error for %d bytes is %v", len(bad), err)
		}
	}
}

func (r Range) same(o Range) bool {
	return r.From == o.From && r.To == o.To && r.mergeable(o)
}
