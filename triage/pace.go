package triage

import "time"

const (
	// paceWindow is the time over which a target must name higher service times before they
	// count as lasting; short slowdowns last 0.4 s.
	paceWindow = time.Second
	// minPaceFigures is the number of figures in each half of the window from which they
	// say something of the whole half.
	minPaceFigures = 4
	// paceLifetime is the age at which the last figure says nothing of the present.
	paceLifetime = time.Second
)

// pace follows the service time that a target names, as a ratio to its usual one, and tells
// lasting changes from short ones. The zero value is a target that names none.
type pace struct {
	lasting float64 // 0 before the first figure
	last    float64
	lastAt  time.Duration
	begin   time.Duration // of the current half of the window
	halves  [2]paceHalf   // the earlier and the current one
}

type paceHalf struct {
	least float64
	count int
}

// observe records a figure and returns the ratio of the lasting service time to that before.
// A lower figure lasts at once: an estimate that is too high refuses work that could end.
func (p *pace) observe(figure float64, now time.Duration) (ratio float64) {
	if p.lasting == 0 {
		p.lasting, p.begin = 1, now
	}
	switch since := now - p.begin; {
	case since >= paceWindow:
		p.halves, p.begin = [2]paceHalf{}, now
	case since >= paceWindow/2:
		p.halves, p.begin = [2]paceHalf{p.halves[1], {}}, now
	}
	current := &p.halves[1]
	if current.count == 0 || figure < current.least {
		current.least = figure
	}
	current.count++
	p.last, p.lastAt = figure, now
	before := p.lasting
	earlier := p.halves[0]
	whole := earlier.count >= minPaceFigures && current.count >= minPaceFigures && now-p.begin >= paceWindow/2*4/5
	if figure < p.lasting {
		p.lasting = figure
	} else if least := min(earlier.least, current.least); whole && least > p.lasting {
		p.lasting = least
	}
	return p.lasting / before
}

// present returns the present service time by the lasting one, or 0 if it is not known.
func (p *pace) present(now time.Duration) float64 {
	if p.lasting == 0 || now-p.lastAt > paceLifetime {
		return 0
	}
	return p.last / p.lasting
}

// ObservePace records the service time that the target named in a response, as a ratio to its
// usual one. The estimates of all classes follow changes that last. Waiting requests that
// can't end in time any more are refused at once. It returns the lasting pace.
func (l *Limiter) ObservePace(figure float64, now time.Duration) (lasting float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio := l.pace.observe(figure, now)
	if ratio == 1 {
		return l.pace.lasting
	}
	for class, t := range l.times {
		t.mean = time.Duration(float64(t.mean) * ratio)
		t.excess = time.Duration(float64(t.excess) * ratio)
		l.times[class] = t
	}
	l.dispatch(now)
	return l.pace.lasting
}

// Present returns the present service time by the lasting one, or 0 if the target names none.
func (l *Limiter) Present(now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace.present(now)
}

// Lasting returns how long a request that took a time would have taken at the lasting pace,
// from the present one at its start and at its end, each 0 if not known.
func Lasting(took time.Duration, atStart, atEnd float64) time.Duration {
	switch {
	case atStart <= 0 && atEnd <= 0:
		return took
	case atStart <= 0:
		atStart = atEnd
	case atEnd <= 0:
		atEnd = atStart
	}
	return time.Duration(float64(took) * 2 / (atStart + atEnd))
}

// correct changes the mean as if the last observation had been longer by a time. The excess
// stays as observed, as the next request may meet a slowdown too.
func (t serviceTime) correct(by time.Duration) serviceTime {
	t.mean += time.Duration(max(timeWeight, 1/float64(t.samples)) * float64(by))
	return t
}

// Figures is the state of a Limiter, for other nodes.
type Figures struct {
	Running, Waiting, Limit int
	ServiceTime             time.Duration // lasting mean of a class, 0 if not known
	Present                 float64       // present service time by the lasting one, 0 if not known
}

// Figures returns the state, with the service time of a class.
func (l *Limiter) Figures(class string, now time.Duration) Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Figures{
		Running: l.running, Waiting: len(l.queue), Limit: l.limit,
		ServiceTime: l.times[class].mean, Present: l.pace.present(now),
	}
}
