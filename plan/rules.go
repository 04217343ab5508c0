package plan

import (
	"errors"
	"fmt"
)

// ErrRules is returned for rules whose values are out of range or contradictory.
var ErrRules = errors.New("invalid planner rules")

// Rules are the operators' weights and limits. Zero fields take the defaults.
type Rules struct {
	// Imbalance, Churn and Unavailable are the weights of the three metrics. The
	// more churn and unavailable time weigh, the higher is the load at which a host
	// is relieved.
	Imbalance, Churn, Unavailable float64
	// LinkTolerance is the additional load, as a fraction of the mean, that a host
	// in the callers' region may have before an entry is moved to a host that the
	// callers reach over the paid link.
	LinkTolerance float64
	// HotKeyShare is the fraction of the mean host load above which a key is isolated.
	HotKeyShare float64
	// PerStep and PerMinute limit the moves for balance. Evacuate limits the moves
	// off hosts that are leaving or down in one step; these do not count against
	// PerStep and PerMinute.
	PerStep, PerMinute, Evacuate int
}

const (
	defaultLinkTolerance = 0.05
	defaultHotKeyShare   = 0.05
	defaultEvacuate      = 1024
)

// Validate reports the first field that is out of range.
func (r Rules) Validate() error {
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"imbalance", r.Imbalance},
		{"churn", r.Churn},
		{"unavailable", r.Unavailable},
		{"link tolerance", r.LinkTolerance},
		{"hot key share", r.HotKeyShare},
		{"moves per step", float64(r.PerStep)},
		{"moves per minute", float64(r.PerMinute)},
		{"evacuation moves per step", float64(r.Evacuate)},
	} {
		// The negated comparison also rejects NaN.
		if !(f.value >= 0) {
			return fmt.Errorf("%w: %s is %v, want at least 0", ErrRules, f.name, f.value)
		}
	}
	if r.HotKeyShare > 1 {
		return fmt.Errorf("%w: hot key share is %v, want at most 1", ErrRules, r.HotKeyShare)
	}
	if r.PerMinute > 0 && r.PerMinute < r.PerStep {
		return fmt.Errorf("%w: moves per minute is %d, want at least the %d moves per step", ErrRules, r.PerMinute, r.PerStep)
	}
	return nil
}

func (r Rules) withDefaults(entries int) Rules {
	if r.Imbalance+r.Churn+r.Unavailable <= 0 {
		r.Imbalance, r.Churn, r.Unavailable = 1, 1, 1
	}
	setDefault(&r.LinkTolerance, defaultLinkTolerance)
	setDefault(&r.HotKeyShare, defaultHotKeyShare)
	setDefault(&r.PerStep, max(16, entries/256))
	setDefault(&r.PerMinute, max(64, entries/64))
	setDefault(&r.Evacuate, defaultEvacuate)
	return r
}

func setDefault[T int | float64](v *T, to T) {
	if *v <= 0 {
		*v = to
	}
}

// overloadLimit returns the load ratio above which a host is relieved: 1.06 if
// only imbalance has a weight and 1.14 if it has none, which is still below the
// imbalance objective of 1.15.
func (r Rules) overloadLimit() float64 {
	return 1.06 + 0.08*(r.Churn+r.Unavailable)/(r.Imbalance+r.Churn+r.Unavailable)
}
