package admit

// maxLabels bounds the memory of the counters, as callers choose tenant names.
// Further tenants share one set of counters per class.
const maxLabels = 4096

// OtherTenants is the tenant name of the counters shared by tenants beyond
// maxLabels.
const OtherTenants = "(other)"

// Label is the class and tenant that a set of counters belongs to.
type Label struct{ Class, Tenant string }

// Counts are the request counters of one class and tenant.
type Counts struct {
	Admitted  uint64 // tickets granted
	Queued    uint64 // requests that were queued
	Succeeded uint64 // tickets released with success
	Failed    uint64 // tickets released without success
	Deadline  uint64 // refused with ErrDeadline
	Full      uint64 // refused with ErrFull
	Shed      uint64 // evicted from the queue with ErrShed
	Draining  uint64 // refused with ErrDraining
	Canceled  uint64 // ended because their context ended
}

type counters struct{ entries map[Label]*Counts }

func (c *counters) get(class, tenant string) *Counts {
	k := Label{class, tenant}
	if n, ok := c.entries[k]; ok {
		return n
	}
	if c.entries == nil {
		c.entries = make(map[Label]*Counts)
	}
	if len(c.entries) >= maxLabels {
		k.Tenant = OtherTenants
		if n, ok := c.entries[k]; ok {
			return n
		}
	}
	n := new(Counts)
	c.entries[k] = n
	return n
}
