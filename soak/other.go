package main

import (
	"context"
	"math/rand/v2"
	"time"

	"burdocklift/platform/stand"
)

// otherInterval bounds the time between two heartbeats of other programs.
const otherInterval = 1500 * time.Millisecond

// sendOthers sends nodes heartbeats of other programs until the context ends. Its random
// numbers are not those of the schedule, so that schedules of earlier seeds stay.
func (r *Runner) sendOthers(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for wait(ctx, time.Duration(rng.Int64N(int64(otherInterval)))) {
		m := r.site.machines[rng.IntN(len(r.site.machines))]
		id := "other"
		if t := m.Target(); t != nil && rng.IntN(2) == 0 {
			id = t.ID()
		}
		defect, status, err := stand.SendDefective(ctx, stand.Config{
			ID: id, Service: m.service, Slots: slots, Address: m.at(portTarget), Node: m.at(portBeat),
		}, rng)
		if err == nil && status/100 == 2 {
			r.check.Breaks("OTHER", "%s takes a heartbeat of another program: %s", m.name, defect)
		}
	}
}
