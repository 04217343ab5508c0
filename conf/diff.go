package conf

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	Action string `json:"action"` // added, removed or changed
	Item   string `json:"item"`   // host, service, class, link or rule
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

func (c Change) String() string {
	if c.Action != "changed" {
		return fmt.Sprintf("%s %s %s", c.Action, c.Item, c.Name)
	}
	return fmt.Sprintf("%s %s %s: %s %s -> %s", c.Action, c.Item, c.Name, c.Field, c.Old, c.New)
}

// Item is a named part of a document with its fields as text. Items of one kind have the
// same fields in the same order.
type Item struct {
	Kind, Name string
	Fields     [][2]string
}

// Diff lists the differences of two documents of one kind, in the order of the
// new document and with removals last. Versions and authors are not compared.
func Diff(older, newer Document) []Change { return DiffItems(items(older), items(newer)) }

// DiffItems lists the differences of two lists of items, in the order of the new list and with
// removals last. It changes the older list.
func DiffItems(before, after []Item) []Change {
	var changes []Change
	for _, n := range after {
		i := slices.IndexFunc(before, n.same)
		if i < 0 {
			changes = append(changes, Change{Action: "added", Item: n.Kind, Name: n.Name})
			continue
		}
		for j, f := range n.Fields {
			if was := before[i].Fields[j][1]; was != f[1] {
				changes = append(changes, Change{Action: "changed", Item: n.Kind, Name: n.Name, Field: f[0], Old: was, New: f[1]})
			}
		}
		before = slices.Delete(before, i, i+1)
	}
	for _, o := range before {
		changes = append(changes, Change{Action: "removed", Item: o.Kind, Name: o.Name})
	}
	return changes
}

func (i Item) same(o Item) bool { return i.Kind == o.Kind && i.Name == o.Name }

func items(d Document) []Item {
	var list []Item
	add := func(kind, name string, v any) {
		list = append(list, Item{Kind: kind, Name: name, Fields: flatten("", reflect.ValueOf(v))})
	}
	switch d := d.(type) {
	case *Inventory:
		for _, h := range d.Hosts {
			add("host", h.Name, h)
		}
	case *Rules:
		add("rule", "rules", *d)
		for _, l := range d.Links {
			rate := struct {
				Rate Rate `toml:"rate"`
			}{l.Rate}
			add("link", strings.Join(slices.Sorted(slices.Values(l.Regions)), "-"), rate)
		}
		for _, s := range d.Services {
			add("service", s.Name, s)
			for _, c := range s.Classes {
				add("class", s.Name+"/"+c.Name, c)
			}
		}
	}
	return list
}

// flatten lists the keys of a table with their values. Arrays of tables are
// items of their own.
func flatten(path string, v reflect.Value) [][2]string {
	if v.Kind() != reflect.Struct {
		return [][2]string{{path, fmt.Sprint(v.Interface())}}
	}
	var list [][2]string
	for _, f := range fields(v.Type()) {
		value := v.FieldByIndex(f.index)
		arrayOfTables := value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct
		if len(f.index) > 1 || arrayOfTables {
			continue // the head, or items of their own
		}
		list = append(list, flatten(join(path, f.name), value)...)
	}
	return list
}

// maxRemoved is the share of serving slots that a change may remove without
// being called dangerous. A lost data centre at an evenly filled site of four
// is 25%, which the remaining hosts are expected to carry.
const maxRemoved = 0.25

// Dangerous returns the reasons why a change needs an explicit confirmation,
// or nothing. Capacity that is added does not make up for capacity that is
// removed, as the keys of the removed hosts move all the same.
func Dangerous(older, newer Document) []string {
	switch o := older.(type) {
	case *Inventory:
		if n, ok := newer.(*Inventory); ok {
			return dangerousInventory(o, n)
		}
	case *Rules:
		if n, ok := newer.(*Rules); ok {
			return dangerousRules(o, n)
		}
	}
	return nil
}

func dangerousInventory(older, newer *Inventory) []string {
	removed := 0
	for i := range older.Hosts {
		o := &older.Hosts[i]
		if !o.State.Serves() {
			continue
		}
		left := 0
		if n, ok := newer.Host(o.Name); ok && n.State.Serves() {
			left = n.Slots
		}
		removed += max(0, o.Slots-left)
	}
	total := older.Slots()
	if total == 0 || float64(removed) <= maxRemoved*float64(total) {
		return nil
	}
	return []string{fmt.Sprintf("removes %d of %d serving slots (%.0f%%), the limit is %.0f%%",
		removed, total, 100*float64(removed)/float64(total), 100*maxRemoved)}
}

func dangerousRules(older, newer *Rules) []string {
	var reasons []string
	add := func(format string, args ...any) { reasons = append(reasons, fmt.Sprintf(format, args...)) }
	for i := range older.Services {
		o := &older.Services[i]
		n, ok := newer.Service(o.Name)
		if !ok {
			add("service %s is removed, its requests will be refused", o.Name)
			continue
		}
		switch {
		case o.Keyed != n.Keyed:
			add("service %s: keyed changes from %t to %t, ownership of all its keys is lost", o.Name, o.Keyed, n.Keyed)
		case o.Shards != n.Shards:
			add("service %s: shards change from %d to %d, every key gets another shard", o.Name, o.Shards, n.Shards)
		case o.KeyFrom != n.KeyFrom:
			add("service %s: the location of the key changes, requests find other owners", o.Name)
		}
		for _, c := range o.Classes {
			j := slices.IndexFunc(n.Classes, func(d Class) bool { return d.Name == c.Name })
			if c.Once && (j < 0 || !n.Classes[j].Once) {
				add("service %s: class %s is no longer once-only, its requests may run twice", o.Name, c.Name)
			}
		}
	}
	return reasons
}
