package route

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"burdocklift/conf"
	"burdocklift/link"
	"burdocklift/proto"
)

// Guards against a request of high priority that is refused for lack of link
// budget while one of lower priority passes, against forwards beyond the
// budget, and against responses that are not charged at their sender.
func TestLinkBudget(t *testing.T) {
	rules, err := conf.ParseRules("rules", []byte(clusterRules+"[[link]]\nregions = [\"a\", \"b\"]\nrate = \"240kbit/s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	w := newCluster(t, 2, "permit", echo)
	// A fake clock: the budget does not refill while the test runs.
	clock := clockwork.NewFakeClock()
	regions := []string{"a", "b"}
	for i, h := range w.hosts {
		h.router.SetRules(rules)
		h.router.place.Region = regions[i]
		h.member.Place.Region = regions[i]
		h.router.linkBudgets.self = h.id
		h.router.linkBudgets.byRegion = map[string]*link.Budget{regions[1-i]: link.New(link.Config{Node: h.id, Rate: 30_000}, 1, clock)}
	}
	clock.Advance(20e9)
	w.publish(proto.Entry{Epoch: 1})
	sent := func(method string) int { // until the first refusal
		for n := 0; ; n++ {
			if r := w.send(1, method, "/permit/p/k", ""); r.outcome != proto.Answered {
				r.want(t, proto.NotRun, ReasonLinkBudget)
				return n
			}
			if n == 1000 {
				t.Fatalf("%s is never refused", method)
			}
		}
	}
	low, high := sent("GET"), sent("PUT")
	t.Logf("%d requests of the lowest priority passed, then %d of the highest", low, high)
	if low == 0 || high == 0 || w.runs() != low+high {
		t.Fatalf("%d low, %d high, %d runs", low, high, w.runs())
	}
	w.send(1, "GET", "/permit/p/k", "").want(t, proto.NotRun, ReasonLinkBudget)
	for i, h := range w.hosts {
		for _, c := range h.router.LinkCounts()[regions[1-i]] {
			if c.Direction == link.Out && c.Passed == 0 || i == 1 && c.Direction == link.Out && c.Shed == 0 {
				t.Errorf("host %d: %+v", i, c)
			}
		}
		if n := len(h.router.LinkCounts()[regions[1-i]]); n != 4 {
			t.Errorf("host %d counts %d classes and directions, want 4", i, n)
		}
	}
	t.Run("without a link there is no budget", func(t *testing.T) {
		w.hosts[1].router.linkBudgets.byRegion = nil
		w.send(1, "GET", "/permit/p/k", "").want(t, proto.Answered, "")
	})
}

// Guards against a share of the budget that stays with an idle node, and
// against reports and loans that are lost in the encoding of a message.
func TestLinkShares(t *testing.T) {
	rules, err := conf.ParseRules("rules", []byte(clusterRules+"[[link]]\nregions = [\"a\", \"b\"]\nrate = \"240kbit/s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	var routers []*Router
	ids := []proto.HostID{{Name: "busy", Incarnation: 1}, {Name: "idle", Incarnation: 1}}
	for range ids {
		r := New(nil, clock, proto.Place{Region: "a"})
		r.SetRules(rules)
		routers = append(routers, r)
	}
	for range 15 {
		for i, r := range routers {
			err := r.CompleteLinkRound(ids[i], []string{"b"}, 2, func(_ proto.HostID, m proto.Share) {
				b, err := proto.Encode(ids[i], ids[1-i], m)
				if err != nil {
					t.Fatal(err)
				}
				_, _, got, err := proto.Decode(b)
				if err != nil {
					t.Fatal(err)
				}
				if err := routers[1-i].ReceiveShare(got.(proto.Share)); err != nil {
					t.Fatal(err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		for range 50 {
			routers[0].linkBudget("b").Allow("permit/urgent", link.PriorityLevels-1, 500, link.Out)
		}
		clock.Advance(time.Second)
	}
	busy, idle := routers[0].linkBudget("b").Share(link.Out), routers[1].linkBudget("b").Share(link.Out)
	if busy < 20_000 || busy+idle > 30_000 {
		t.Errorf("shares of 30000 B/s: busy node %d, idle node %d", busy, idle)
	}
}
