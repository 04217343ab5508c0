package link

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"burdocklift/proto"
	_ "burdocklift/seeds"
)

const (
	testRate       = 3_750_000
	tick           = 20 * time.Millisecond
	ticksPerSecond = int(time.Second / tick)
)

type message struct {
	from, to int
	report   *Report
	loan     *Loan
	want     float64
}

// result holds the figures of a run. Those of the budget's use are taken after all
// nodes have their full own part.
type result struct {
	used          float64 // used part of the budget
	share         int     // highest sum of all nodes' shares, in bytes per second
	busiestSecond int     // most bytes in any second, including the ticks at both ends
	naive         float64 // highest sum of shares, as part of the budget, if shares followed the received reports alone
}

// simulate runs nodes whose clocks differ by up to 250 ms. A tenth of the nodes
// request 110% of the budget together, and the rest 15%; every 20 s another tenth
// does. Reports go to at most 24 nodes. With faults, a fifth of all messages is lost
// and nodes restart. Control traffic stays within its reserve.
func simulate(n int, share, faults bool, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]*Budget, n)
	clocks := make([]*clockwork.FakeClock, n)
	boot := func(i int, run uint64) {
		hosts[i] = New(Config{Node: proto.HostID{Name: fmt.Sprint(i), Incarnation: run}}, n, clocks[i])
	}
	for i := range hosts {
		clocks[i] = clockwork.NewFakeClockAt(time.UnixMilli(1_800_000_000_000 + rng.Int64N(251)))
		boot(i, 1)
	}
	const ticks, from = 50 * ticksPerSecond, 10 * ticksPerSecond
	var res result
	queue := make([][]message, ticks+32)
	bytes := make([]int, ticks)
	busy := max(2, n/10)
	order, partners := rng.Perm(n), rng.Perm(n)[:min(n, 24)]
	heard, total := make([][]float64, n), make([]float64, n)
	for i := range heard {
		heard[i] = make([]float64, n)
	}
	owed := make([]float64, n)
	hear := func(to, from int, want float64) {
		total[to] += want - heard[to][from]
		heard[to][from] = want
	}
	for k := range ticks {
		for _, m := range queue[k] {
			if m.loan != nil {
				hosts[m.to].AddLoan(*m.loan)
			} else {
				hosts[m.to].AddReport(*m.report)
				hear(m.to, m.from, m.want)
			}
		}
		queue[k] = nil
		naive, shares := 0.0, 0
		for i, h := range hosts {
			clocks[i].Advance(tick)
			want := 0.15 * testRate / float64(ticksPerSecond*(n-busy))
			if (order[i]+n-k/(20*ticksPerSecond)*busy)%n < busy {
				want = 1.1 * testRate / float64(ticksPerSecond*busy)
			}
			hear(i, i, want)
			naive += want / total[i]
			shares += h.Share(Out)
			size := 100 + rng.IntN(300)
			for owed[i] += want; owed[i] >= float64(size); size = 100 + rng.IntN(300) {
				owed[i] -= float64(size)
				if h.Allow("c", rng.IntN(PriorityLevels), size, Out) {
					bytes[k] += size
				}
			}
			if (k+i)%ticksPerSecond != 0 {
				continue
			}
			h.ChargeControl(60, Out)
			bytes[k] += 60
			if !share {
				continue
			}
			send := func(m message) {
				for range 1 + rng.IntN(2) {
					if !faults || rng.IntN(5) > 0 {
						at := k + 1 + rng.IntN(15)
						queue[at] = append(queue[at], m)
					}
				}
			}
			report, loans := h.EndRound()
			for _, p := range partners {
				send(message{from: i, to: (i + p) % n, report: &report, want: want})
			}
			for _, l := range loans {
				to, _ := strconv.Atoi(l.To.Name)
				send(message{to: to, loan: &l})
			}
			if faults && rng.IntN(400) == 0 {
				boot(i, uint64(k+2))
			}
		}
		res.share = max(res.share, shares)
		if n <= len(partners) && k >= from {
			res.naive = max(res.naive, naive)
		}
	}
	sum, used := 0, 0
	for k, b := range bytes {
		if sum += b; k > ticksPerSecond {
			sum -= bytes[k-ticksPerSecond-1]
		}
		res.busiestSecond = max(res.busiestSecond, sum)
		if k >= from {
			used += b
		}
	}
	res.used = float64(used) / testRate / float64((ticks-from)/ticksPerSecond)
	return res
}

// Guards against shares whose sum exceeds the budget after stale or lost reports,
// lost or repeated loans, restarts and clock skew, and against shares that do not
// follow demand.
func TestBudgetHoldsAndFollowsDemand(t *testing.T) {
	for _, c := range []struct {
		n      int
		faults bool
	}{{9, false}, {9, true}, {200, true}} {
		const seed = 20261204
		got, static := simulate(c.n, true, c.faults, seed), simulate(c.n, false, false, seed)
		t.Logf("%d nodes, faults %t, seed %d: %.1f%% of the budget used, static equal parts %.1f%%; busiest second %.1f%%; sum of shares at most %.1f%%, shares from reports alone %.1f%%",
			c.n, c.faults, seed, 100*got.used, 100*static.used, 100*float64(got.busiestSecond)/testRate, 100*float64(got.share)/testRate, 100*got.naive)
		if got.share > testRate || got.busiestSecond > testRate || static.busiestSecond > testRate {
			t.Errorf("%d nodes: sum of shares %d bytes/s, busiest second %d bytes, with static parts %d bytes; want at most %d", c.n, got.share, got.busiestSecond, static.busiestSecond, testRate)
		}
		if c.n == 9 && got.naive <= 1 { // with 9 nodes, all nodes receive all reports
			t.Errorf("shares from reports alone sum to %.2f of the budget, want more than 1", got.naive)
		}
		if got.used < 1.5*static.used {
			t.Errorf("%d nodes: %.2f of the budget used, want at least 1.5 times the %.2f of static parts", c.n, got.used, static.used)
		}
	}
}

// Guards against requests of a lower priority that pass while higher priorities are
// shed, and against control traffic that is shed or not charged.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(Config{}, 1, clock)
	clock.Advance(10 * time.Second)
	names := [PriorityLevels]string{"a0", "a1", "a2", "a3"}
	const size, rounds = 2000, 1500
	for range rounds {
		clock.Advance(tick)
		for range 15 { // each of the 4 priorities requests 0.4 of the budget
			for p, name := range names {
				b.Allow(name, p, size, Out)
			}
		}
		b.ChargeControl(200, Out)
	}
	counts := b.Counts()
	if len(counts) != 2*(PriorityLevels+1) {
		t.Fatal("want two counts for each of 5 classes, got", counts)
	}
	var passed [PriorityLevels]float64
	for p := range names {
		c := counts[2*p]
		passed[p] = float64(c.Passed) / (15 * size * rounds)
		if c.Passed+c.Shed != 15*size*rounds || counts[2*p+1].Passed != 0 {
			t.Errorf("class %s: counts do not add up or belong to the wrong direction: %+v", c.Class, c)
		}
	}
	t.Logf("passed by priority from the lowest: %.3f", passed)
	if passed[3] < 0.99 || passed[2] < 0.99 || passed[1] < 0.02 || passed[1] > 0.5 || passed[0] > 0.01 {
		t.Errorf("passed by priority from the lowest = %.3f, want at most 0.01, 0.02 to 0.5, and at least 0.99 twice", passed)
	}
	if c := counts[2*PriorityLevels]; c.Class != "control" || c.Passed != 200*rounds {
		t.Errorf("counts of class control, want 200 bytes passed per round: %+v", c)
	}
	b.ChargeControl(testRate, Out)
	if b.Allow("a3", 3, 1, Out) || !b.Allow("a3", 3, 1, In) {
		t.Error("control traffic is not charged to its own direction")
	}
}

// Guards against grants above the rate or above a node's need, and against results
// that depend on the order of the nodes.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(0, 1000).Draw(t, "rate")
		var deficits []Deficit
		need, sum := 0, 0
		for i := range rapid.IntRange(0, 8).Draw(t, "nodes") {
			l := Deficit{Node: proto.HostID{Name: fmt.Sprint(i)}}
			for p := range l.Rate {
				l.Rate[p] = rapid.IntRange(0, 300).Draw(t, "deficit")
				need += l.Rate[p]
			}
			deficits = append(deficits, l)
		}
		grants := Divide(rate, deficits)
		again := Divide(rate, rapid.Permutation(deficits).Draw(t, "order"))
		for i, g := range grants {
			sum += g.Rate
			if l := deficits[i].Rate; g != again[i] || g.Rate > l[0]+l[1]+l[2]+l[3] {
				t.Fatal(grants, again)
			}
		}
		if sum != min(rate, need) {
			t.Fatalf("granted %d, want the lower of the rate %d and the need %d", sum, rate, need)
		}
	})
}

func BenchmarkAllow(b *testing.B) {
	clock := clockwork.NewRealClock()
	budget := New(Config{SettleTime: 1}, 1, clock)
	b.ReportAllocs()
	for b.Loop() {
		budget.Allow("c", 3, 1, Out)
	}
}

// Guards against a restarted node that sheds all traffic over the link until its
// earlier loans have expired, and against one that uses more than it never lends.
func TestStartShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(Config{}, 9, clock)
	clock.Advance(time.Second)
	if !b.Allow("gate", PriorityLevels-1, 500, Out) {
		t.Error("a request of the highest priority is shed 1 s after the start")
	}
	full := 3_750_000 / 9
	if got, most := b.Share(Out), full*25/1000; got > most {
		t.Errorf("share after the start = %d bytes/s, want at most %d", got, most)
	}
	clock.Advance(8 * time.Second)
	if got := b.Share(Out); got != full {
		t.Errorf("share after the loans have expired = %d bytes/s, want %d", got, full)
	}
}
