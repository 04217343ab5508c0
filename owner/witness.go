package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklift/lease"
	"burdocklift/proto"
)

const (
	// witnessCount is the number of witnesses of a host.
	witnessCount = 3
	// witnessReviewInterval is the interval at which the choice of witnesses is
	// reviewed.
	witnessReviewInterval = time.Second
	// witnessTimeout is how long a witness may be silent before it is replaced.
	witnessTimeout = 1500 * time.Millisecond
	// witnessReplaceSpread bounds the delay, different for each host, before one of
	// three witnesses is replaced. After the loss of a data centre half of all
	// hosts replace a witness, and the store takes several hundred writes a second.
	witnessReplaceSpread = 3 * time.Second
	// witnessExclusion is how long a silent witness is excluded from the choice.
	witnessExclusion = 10 * time.Second
)

// chooseWitnesses selects the witnesses of a host, preferably one in its data
// centre, one in another data centre of its region and one in another region, so
// that the lease survives the loss of a data centre and a partition between
// regions.
func (c *Core) chooseWitnesses(now time.Time, self proto.HostID) []proto.HostID {
	var all []proto.HostID
	for _, id := range c.witnessOrder() {
		if id.Name != self.Name && !now.Before(c.excludedUntil[id]) {
			all = append(all, id)
		}
	}
	own := c.cfg.Place
	wanted := []func(proto.Place) bool{
		func(p proto.Place) bool { return p.DataCentre == own.DataCentre },
		func(p proto.Place) bool { return p.Region == own.Region && p.DataCentre != own.DataCentre },
		func(p proto.Place) bool { return p.Region != own.Region },
		func(p proto.Place) bool { return p.Region == own.Region },
		func(proto.Place) bool { return true },
		func(proto.Place) bool { return true },
	}
	var chosen []proto.HostID
	for _, match := range wanted {
		if len(chosen) == witnessCount {
			break
		}
		for _, id := range all {
			if match(c.members[id].Place) && !slices.Contains(chosen, id) {
				chosen = append(chosen, id)
				break
			}
		}
	}
	// With fewer than four hosts, the host itself is also a witness, so that the
	// loss of one of three hosts leaves a quorum.
	if len(chosen) < witnessCount {
		chosen = append(chosen, self)
	}
	return chosen
}

// witnessOrder returns the active hosts in this host's rendezvous order.
func (c *Core) witnessOrder() []proto.HostID {
	if c.witnessPreference != nil {
		return c.witnessPreference
	}
	scores := make(map[proto.HostID]uint64, len(c.members))
	for _, id := range c.sortedMembers() {
		if c.members[id].State == proto.Active {
			scores[id] = xxhash.Sum64String(c.cfg.Name + "\x00" + id.Name)
			c.witnessPreference = append(c.witnessPreference, id)
		}
	}
	slices.SortStableFunc(c.witnessPreference, func(a, b proto.HostID) int { return cmp.Compare(scores[a], scores[b]) })
	return c.witnessPreference
}

// witnessScore returns the score of a witness set; higher is better. It prefers,
// in this order, more witnesses, none on the host itself, two of three in its own
// region, so that a partition leaves a quorum on the host's side, more data
// centres, and one in its own.
func (c *Core) witnessScore(set []proto.HostID) int {
	centres := make(map[string]bool)
	near, far, q := 0, 0, 0
	for _, id := range set {
		q += 100
		if id == c.id {
			q -= 50
			continue
		}
		p := c.members[id].Place
		centres[p.DataCentre] = true
		if p.Region == c.cfg.Place.Region {
			near++
		} else {
			far++
		}
	}
	q += 10*min(near, 2) + 10*min(far, 1) + 2*len(centres)
	if centres[c.cfg.Place.DataCentre] {
		q++
	}
	return q
}

// reviewWitnesses replaces witnesses that are silent, leaving, marked or badly
// placed. A quorum of the new set must grant the lease before the change is
// written.
func (c *Core) reviewWitnesses(now time.Time, fx Effects) {
	if c.proposed != nil {
		c.finishProposal(now, fx)
		return
	}
	if now.Before(c.nextWitnessCheck) || c.writingWitnesses {
		return
	}
	c.nextWitnessCheck = now.Add(c.cfg.Timing.Renew)
	own, ok := c.members[c.id]
	if !ok {
		return
	}
	failed := c.failedWitnesses(now, own.Witnesses)
	// The first hosts to start join with few witnesses or are their own witness.
	scarce := len(own.Witnesses) < witnessCount || slices.Contains(own.Witnesses, c.id)
	if failed == 0 && !scarce && now.Before(c.nextWitnessReview) {
		return
	}
	c.nextWitnessReview = now.Add(witnessReviewInterval)
	next := c.chooseWitnesses(now, c.id)
	if slices.Equal(next, own.Witnesses) || (failed == 0 && c.witnessScore(next) <= c.witnessScore(own.Witnesses)) {
		c.betterSetSince = time.Time{}
		return
	}
	// Witnesses that have left or are marked are certainly gone. If too few of the
	// others answer, it is more likely that the local host is isolated than that
	// they have failed.
	remaining := slices.DeleteFunc(slices.Clone(own.Witnesses), c.isGone)
	if failed > 0 && c.witnessScore(next) < c.witnessScore(remaining)-100 {
		return
	}
	if c.betterSetSince.IsZero() {
		c.betterSetSince = now
	}
	spread := time.Duration(xxhash.Sum64String(c.cfg.Name) % uint64(witnessReplaceSpread))
	if !scarce && failed < lease.BlockingQuorum(len(own.Witnesses)) && now.Sub(c.betterSetSince) < spread {
		return
	}
	c.betterSetSince = time.Time{}
	c.proposed, c.proposedAt = next, now
	c.holder.Propose(next)
	c.nextRenew = now
}

// failedWitnesses returns the number of witnesses to replace. A single silent
// witness has until witnessTimeout to answer. If the silent ones block a quorum,
// they are replaced as soon as the silence exceeds what a lost renewal explains,
// as the lease is about to end.
func (c *Core) failedWitnesses(now time.Time, set []proto.HostID) int {
	var silent []proto.HostID
	gone, late := 0, 0
	for _, w := range set {
		if c.isGone(w) {
			gone++
			continue
		}
		heard, known := c.lastGrant[w]
		if !known {
			c.lastGrant[w] = now
			continue
		}
		if now.Sub(heard) > c.cfg.Timing.Suspect {
			silent = append(silent, w)
		}
		if now.Sub(heard) > witnessTimeout {
			late++
		}
	}
	if gone+len(silent) < lease.BlockingQuorum(len(set)) && late == 0 {
		return gone
	}
	for _, w := range silent {
		c.excludedUntil[w] = now.Add(witnessExclusion)
	}
	return gone + len(silent)
}

// isGone reports whether a witness is recorded as leaving, marked or removed.
func (c *Core) isGone(w proto.HostID) bool {
	m, known := c.members[w]
	return w != c.id && (!known || m.State != proto.Active)
}

// finishProposal writes the proposed witnesses once a quorum of them grants the
// lease, and drops the proposal after witnessTimeout.
func (c *Core) finishProposal(now time.Time, fx Effects) {
	next := c.proposed
	switch {
	case c.holder.ProposalGranted(now.Add(c.cfg.Timing.Renew)):
		c.proposed = nil
		c.changeWitnesses(now, c.members[c.id].Witnesses, next, fx)
	case now.Sub(c.proposedAt) > witnessTimeout:
		c.proposed = nil
		c.holder.Propose(nil)
		for _, w := range next {
			if heard := c.lastGrant[w]; heard.Before(c.proposedAt) {
				c.excludedUntil[w] = now.Add(witnessExclusion)
			}
		}
	}
}

// changeWitnesses writes a new witness set. Until the write is confirmed, the
// lease needs a quorum of both sets, as either may be the recorded one.
func (c *Core) changeWitnesses(now time.Time, old, next []proto.HostID, fx Effects) {
	c.writingWitnesses = true
	c.holder.SetWitnesses(old, next)
	c.holder.Propose(nil)
	id := c.id
	end := func(set []proto.HostID) {
		if c.id == id && c.writingWitnesses {
			c.writingWitnesses = false
			c.holder.SetWitnesses(set)
		}
	}
	c.groups.edit(now, c.groupKey(), change[proto.Group]{
		apply: func(g *proto.Group) bool {
			m, ok := g.Member(id)
			if !ok || m.State == proto.Marked || slices.Equal(m.Witnesses, next) {
				return false
			}
			m.Witnesses = slices.Clone(next)
			return true
		},
		done: func(time.Time, Effects) { end(next) },
		withdraw: func(now time.Time, notWritten bool, _ Effects) bool {
			if notWritten {
				end(old)
				c.nextWitnessCheck = now.Add(maxRetryInterval)
			}
			return notWritten
		},
	}, fx)
}
