package conf

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
)

var stateValue = regexp.MustCompile(`(\bstate\s*=\s*)("[^"]*"|'[^']*')`)

// SetHostState returns the text of an inventory with another state of one host
// and everything else, comments included, as it was.
func SetHostState(b []byte, host string, state HostState) ([]byte, error) {
	older, err := ParseInventory("inventory", b)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(older.Hosts, func(h Host) bool { return h.Name == host })
	if i < 0 {
		return nil, fmt.Errorf("%w: host %q is not in the inventory", ErrInvalid, host)
	}
	if older.Hosts[i].State == state {
		return b, nil
	}
	lines := bytes.Split(b, []byte("\n"))
	n := locate(b)[fmt.Sprintf("host[%d].state", i)] - 1
	if n < 0 || n >= len(lines) {
		return nil, fmt.Errorf("%w: state of host %q is not on a line of its own", ErrInvalid, host)
	}
	lines[n] = stateValue.ReplaceAll(lines[n], fmt.Appendf(nil, `${1}"%s"`, state))
	edited := bytes.Join(lines, []byte("\n"))
	// Several hosts on one line would all change; such a text is refused.
	newer, err := ParseInventory("inventory", edited)
	if err != nil {
		return nil, err
	}
	changes := Diff(older, newer)
	if len(changes) != 1 || newer.Hosts[i].State != state {
		return nil, fmt.Errorf("%w: state of host %q is not on a line of its own", ErrInvalid, host)
	}
	return edited, nil
}
