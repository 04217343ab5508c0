package spread

import (
	"strings"
	"time"

	"burdocklift/conf"
	"burdocklift/proto"
	"burdocklift/store"
)

// InForce is the version of a document that the node applies.
type InForce struct {
	Version uint64
	Index   uint64
	Since   time.Time
}

// Refused is a stored version of a document that was rejected as invalid.
type Refused struct {
	Index  uint64
	At     time.Time
	Reason string
}

// Status is the state of one configuration document on a node. Refused is set
// while the newest stored version is not in force.
type Status struct {
	InForce InForce
	Refused Refused
}

// Documents holds the configuration documents in force and their state.
type Documents struct {
	Rules     *conf.Rules
	Inventory *conf.Inventory
	status    map[conf.Kind]Status
}

// Status returns the state of a document.
func (d *Documents) Status(k conf.Kind) Status { return d.status[k] }

func (d *Documents) clone() Documents {
	c := Documents{Rules: d.Rules, Inventory: d.Inventory, status: make(map[conf.Kind]Status)}
	for k, s := range d.status {
		c.status[k] = s
	}
	return c
}

// install puts a newer version of a document in force if it is valid, and
// otherwise stores the reason. It reports whether the version was put in force.
func (d *Documents) install(now time.Time, k conf.Kind, r store.Record) bool {
	s := d.status[k]
	if r.Index <= s.InForce.Index {
		return false
	}
	if d.status == nil {
		d.status = make(map[conf.Kind]Status)
	}
	doc, err := k.Parse(k.StoreKey(), r.Value)
	if err != nil {
		if r.Index > s.Refused.Index {
			s.Refused = Refused{Index: r.Index, At: now, Reason: err.Error()}
			d.status[k] = s
		}
		return false
	}
	switch doc := doc.(type) {
	case *conf.Rules:
		d.Rules = doc
	case *conf.Inventory:
		d.Inventory = doc
	}
	s.InForce = InForce{Version: doc.Stamp().Version, Index: r.Index, Since: now}
	if s.Refused.Index < r.Index {
		s.Refused = Refused{}
	}
	d.status[k] = s
	return true
}

var documentKinds = map[string]conf.Kind{proto.KeyRules: conf.KindRules, proto.KeyInventory: conf.KindInventory}

// installDocument handles a version of a configuration document. A valid one is
// also stored as the newest valid version, for nodes that start while a later
// version is invalid.
func (e *Engine) installDocument(now time.Time, r store.Record, fx Effects) {
	key := strings.TrimPrefix(r.Key, validPrefix)
	k, ok := documentKinds[key]
	if !ok || !e.ready {
		return
	}
	before := e.documents.Status(k)
	if e.documents.install(now, k, r) {
		e.table.put(store.Record{Key: validPrefix + key, Index: r.Index, Value: r.Value}, nil)
	}
	if e.documents.Status(k) != before {
		fx.Configured(e.documents.clone())
	}
}

// becomeReady puts the learned documents in force. Before all records are
// learned, a restarted node could apply a version that is older than the one it
// applied before.
func (e *Engine) becomeReady(now time.Time, fx Effects) {
	if e.ready {
		return
	}
	e.ready = true
	for key := range documentKinds {
		for _, name := range []string{validPrefix + key, key} {
			if known := e.table.versions[name]; known != nil {
				e.installDocument(now, store.Record{Key: name, Index: known.index, Value: known.value}, fx)
			}
		}
	}
}

// TakeoverDelay returns the smallest delay of the keyed services. A coordinator
// applies one delay to the hosts of all services, and no service may wait
// longer than its rule says.
func (d *Documents) TakeoverDelay() time.Duration {
	if d.Rules == nil {
		return 0
	}
	delay := time.Duration(-1)
	for _, s := range d.Rules.Services {
		if s.Keyed && (delay < 0 || s.TakeoverDelay < delay) {
			delay = s.TakeoverDelay
		}
	}
	if delay < 0 {
		return d.Rules.TakeoverDelay
	}
	return delay
}
