package serve

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"burdocklift/pick"
	"burdocklift/span"
)

// pick chooses among the targets of a service without keys: by the expected completion time
// where targets name their pace, else by this node's own counts.
func (r *Router) pick(p *pick.Picker, class string, options []pick.Candidate) (pick.Candidate, bool) {
	if i := slices.IndexFunc(options, func(c pick.Candidate) bool { return c.Local }); i >= 0 {
		p.Report(options[i].Name, class, r.load(class))
	}
	if !p.Uneven() {
		return p.Pick(options)
	}
	return p.PickExpected(class, options)
}

// load returns the load of the local target.
func (r *Router) load(class string) pick.Load {
	f := r.admission.Figures(class, r.cfg.Clock.Elapsed())
	return pick.Load{Running: f.Running, Waiting: f.Waiting, Limit: f.Limit, ServiceTime: f.ServiceTime, Pace: f.Present}
}

// slowTarget is the ratio of the lasting service time to the usual one from which a target
// is reported as slow. Lasting speeds of targets that work as usual differ less.
const slowTarget = 2

// followPace applies the pace that the local target names, if any.
func (r *Router) followPace(ctx context.Context, inc span.Incarnation, figure float64, now time.Duration) {
	if figure <= 0 {
		return
	}
	lasting := r.admission.ObservePace(figure, now)
	if slow := lasting >= slowTarget; r.slow.Swap(slow) != slow {
		eventTargetSlow.Log(ctx, r.cfg.Log, slog.String("target", inc.Target), slog.Bool("slow", slow), slog.Float64("pace", lasting))
	}
}

// pathNames are the names of paths in metrics. The path on the same host has no messages.
var pathNames = [pick.PathCount]string{
	pick.SameDataCentre: "data_centre", pick.SameRegion: "region", pick.OtherRegion: "other_region",
}

// setUnevenGauges sets the pace of the local target and the bytes of forwarded requests and
// their results, by path.
func (r *Router) setUnevenGauges() {
	r.stats.SetGauge("target_pace_percent", int64(100*r.admission.Present(r.cfg.Clock.Elapsed())))
	for path, name := range pathNames {
		if name != "" {
			r.stats.SetGauge("forwarded_bytes_"+name, r.exchanged[path].Load())
		}
	}
}
