package fleet

import (
	"context"
	"log/slog"
	"slices"

	"burdocklift/place"
)

// setPolicy derives the policy from the rules in force.
func (f *Fleet) setPolicy() {
	earlier := f.policy.Conflicts()
	f.policy = place.New(f.rules)
	for _, service := range f.policy.Conflicts() {
		if !slices.Contains(earlier, service) {
			eventNoCommonRegion.Log(context.Background(), f.cfg.Log, slog.String("service", service))
		}
	}
}
