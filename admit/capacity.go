package admit

import "time"

// SetCapacity applies the slots and connections that the target reports. Values
// below 1 are ignored.
func (l *Limiter) SetCapacity(slots, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if connections > 0 {
		l.config.Connections = connections
	}
	if slots > 0 && slots != l.config.Slots {
		// After a higher report the limit rises step by step, unless the earlier
		// report was what bounded it.
		if l.controller.limit >= float64(l.config.Slots) {
			l.controller.limit = float64(slots)
		}
		l.controller.limit = min(l.controller.limit, float64(slots))
		l.config.Slots = slots
	}
	if !l.draining {
		l.dispatch(now)
	}
}

// AddConnection counts a connection to the target that is opened without a ticket,
// such as a health check. It returns false if the connection limit is reached.
func (l *Limiter) AddConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setup()
	if l.inFlight+l.otherConns >= l.config.Connections {
		return false
	}
	l.otherConns++
	return true
}

// RemoveConnection releases a connection counted by AddConnection.
func (l *Limiter) RemoveConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherConns == 0 {
		return
	}
	l.otherConns--
	if !l.draining {
		l.dispatch(l.now())
	}
}

// limit returns the number of requests that may be in flight now: the adapted
// limit, bounded by slow start and by free connections.
func (l *Limiter) limit(now time.Time) int {
	n := l.controller.effectiveLimit()
	if age := now.Sub(l.started); age < l.config.SlowStart {
		ramp := 1 + int(float64(l.config.Slots-1)*float64(age)/float64(l.config.SlowStart))
		n = min(n, ramp)
	}
	return min(n, l.config.Connections-l.otherConns)
}

// Limit returns the number of requests that may be in flight now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(l.now())
}

// InFlight returns the number of tickets not yet released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.size
}

// Estimate returns the smoothed latency of a class, zero if unknown.
func (l *Limiter) Estimate(class string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.controller.estimateOf(class).mean)
}

// QueueDelay returns how long a request that arrives now is expected to wait for a slot.
func (l *Limiter) QueueDelay(r Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(l.now())
	if l.queue.size == 0 && l.inFlight < limit {
		return 0
	}
	return l.controller.queueDelay(l.queue.ahead(r)+1, limit)
}

// Counts returns the counters of a class and tenant.
func (l *Limiter) Counts(class, tenant string) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.counts.get(class, tenant)
}

// AllCounts returns a copy of all counters.
func (l *Limiter) AllCounts() map[Label]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[Label]Counts, len(l.counts.entries))
	for k, c := range l.counts.entries {
		all[k] = *c
	}
	return all
}
