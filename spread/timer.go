package spread

import (
	"maps"
	"slices"
	"time"

	"burdocklift/proto"
)

// Tick runs the actions that are due. It is called about every 20 ms.
func (e *Engine) Tick(now time.Time, fx Effects) {
	e.refresh(now, fx)
	e.sendFetches(now, fx)
	e.listPeriodically(now, fx)
	e.sendDigests(now, fx)
	e.gossip(now, fx)
	e.checkDocuments(now, fx)
}

// checkDocuments reads a document from the store now and then on a host that is not a relay.
func (e *Engine) checkDocuments(now time.Time, fx Effects) {
	if now.Before(e.nextCheck) || !e.ready {
		return
	}
	hosts := 0
	for _, s := range e.layout.dataCentres {
		hosts += len(s.hosts)
	}
	first := e.nextCheck.IsZero()
	e.nextCheck = now.Add(time.Duration(e.cfg.Rand.Int64N(2 * int64(max(hosts, 1)) * int64(checkInterval))))
	if first || e.isRelay {
		return
	}
	keys := slices.Sorted(maps.Keys(documentKinds))
	fx.Get(keys[e.cfg.Rand.IntN(len(keys))])
}

// gossip announces new versions to random hosts of the data centre, so that
// hosts below a failed node of the distribution tree fetch them.
func (e *Engine) gossip(now time.Time, fx Effects) {
	if len(e.gossipPairs) == 0 || now.Before(e.nextGossip) {
		return
	}
	for range gossipFanout {
		if id, ok := e.randomPeer(e.ownDataCentre.hosts); ok {
			fx.Send(id, proto.Pairs{Have: e.gossipPairs})
		}
	}
	e.gossipPairs = nil
}

func (e *Engine) sendFetches(now time.Time, fx Effects) {
	if len(e.pending) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(e.pending)) {
		w := e.pending[key]
		if now.Before(w.at) {
			continue
		}
		// The fetch is not repeated. If it is not answered, the next digest
		// finds the version.
		delete(e.pending, key)
		fx.Send(w.from, proto.Fetch{Have: []proto.Pair{{Key: key, Index: e.table.index(key)}}})
	}
}

func (e *Engine) list(fx Effects) {
	if !e.listing {
		e.listing = true
		fx.List()
	}
}

// listPeriodically lists the store to find records whose keys are not yet
// known.
func (e *Engine) listPeriodically(now time.Time, fx Effects) {
	if !e.isRelay || now.Before(e.nextList) {
		return
	}
	e.nextList = now.Add(e.listBackoff)
	first := e.ownDataCentre.relays[0] == e.self
	if first || e.listBackoff < listInterval {
		e.list(fx)
	}
	e.listBackoff = min(2*e.listBackoff, listInterval)
}

func (e *Engine) sendDigests(now time.Time, fx Effects) {
	if !now.Before(e.nextDigest) {
		wait := digestInterval
		if !e.ready {
			wait = bootstrapInterval
		}
		// The first digest is sent after a random delay, so that the digests
		// of hosts that start together are spread over the interval.
		if e.nextDigest.IsZero() && e.ready {
			wait = time.Duration(e.cfg.Rand.Int64N(int64(wait)))
		} else {
			e.digestPeer(fx)
		}
		e.nextDigest = now.Add(wait)
	}
	if !e.isRelay {
		return
	}
	if !now.Before(e.nextSameRegion) {
		e.nextSameRegion = now.Add(sameRegionInterval)
		e.digestRelay(true, fx)
	}
	if !now.Before(e.nextCrossRegion) {
		e.nextCrossRegion = now.Add(crossRegionInterval)
		e.digestRelay(false, fx)
	}
}

// digestPeer compares versions with a random host of the data centre. A node
// that is not ready also asks a seed, as the hosts it knows may no longer
// exist.
func (e *Engine) digestPeer(fx Effects) {
	if !e.ready && len(e.cfg.Seeds) > 0 {
		e.sendDigest(AddressID(e.cfg.Seeds[e.cfg.Rand.IntN(len(e.cfg.Seeds))]), fx)
	}
	if id, ok := e.randomPeer(e.ownDataCentre.hosts); ok {
		e.sendDigest(id, fx)
	} else if e.ready && len(e.cfg.Seeds) > 0 {
		e.sendDigest(AddressID(e.cfg.Seeds[e.cfg.Rand.IntN(len(e.cfg.Seeds))]), fx)
	}
}

func (e *Engine) digestRelay(near bool, fx Effects) {
	var relays []proto.HostID
	for _, s := range e.layout.dataCentres {
		if s.place.DataCentre != e.cfg.Place.DataCentre && (s.place.Region == e.cfg.Place.Region) == near {
			relays = append(relays, s.relays...)
		}
	}
	if id, ok := e.randomPeer(relays); ok {
		e.sendDigest(id, fx)
	}
}

// randomPeer returns a random host other than this one.
func (e *Engine) randomPeer(hosts []proto.HostID) (proto.HostID, bool) {
	others := slices.DeleteFunc(slices.Clone(hosts), func(id proto.HostID) bool { return id == e.self })
	if len(others) == 0 {
		return proto.HostID{}, false
	}
	return others[e.cfg.Rand.IntN(len(others))], true
}
