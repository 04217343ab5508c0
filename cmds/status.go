package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"burdocklift/admin"
)

const (
	// statusCalls bounds the nodes that are asked at the same time.
	statusCalls = 32
	// statusTimeout bounds the wait for one of all nodes, so that a lost one does
	// not use up the time of the others.
	statusTimeout = 2 * time.Second
)

// errSilent tells that some nodes did not answer.
var errSilent = errors.New("nodes did not answer")

type statusCommand struct {
	output
	nodeFlags
	limit
	All bool `help:"Ask all nodes in the membership of the node."`
}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string {
	return `Shows the state of a node: phase, lease, versions of the rules and the inventory in force, roles and the live measures of each keyed service. With --all it asks each node in the node's membership; LAG is by how many versions the rules and the inventory of a node are behind the newest of all. A node that does not answer is shown as silent, and the exit status is 1.

Example: burdocklift status --all --node http://10.0.0.1:8083 --token-file token` + statusHelp
}

// nodeStatus is the answer of one node, or the reason why there is none.
type nodeStatus struct {
	admin.Status
	State        string `json:"member_state"` // in the membership of the node that was asked first
	RulesLag     uint64 `json:"rules_lag"`
	InventoryLag uint64 `json:"inventory_lag"`
	Error        string `json:"error,omitempty"`
}

// Run prints the state of one node or of all.
func (c *statusCommand) Run(e *environment) error {
	client, token, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	if !c.All {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return c.print(e, s, func(w io.Writer) { statusTable(w, s) })
	}
	members, err := client.Members(ctx)
	if err != nil {
		return err
	}
	list := askAll(ctx, members, token)
	if err := c.print(e, list, func(w io.Writer) { statusRows(w, list) }); err != nil {
		return err
	}
	var silent []string
	for _, s := range list {
		if s.Error != "" {
			silent = append(silent, s.Node)
		}
	}
	if len(silent) > 0 {
		return fmt.Errorf("%w: %s", errSilent, strings.Join(silent, ", "))
	}
	return nil
}

func askAll(ctx context.Context, members []admin.Member, token string) []nodeStatus {
	list := make([]nodeStatus, len(members))
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for i, m := range members {
		g.Go(func() error {
			list[i] = ask(ctx, m, token)
			return nil
		})
	}
	_ = g.Wait() // failures are in the list
	var rules, inventory uint64
	for _, s := range list {
		rules, inventory = max(rules, s.Rules.Version), max(inventory, s.Inventory.Version)
	}
	for i := range list {
		if s := &list[i]; s.Error == "" {
			s.RulesLag, s.InventoryLag = rules-s.Rules.Version, inventory-s.Inventory.Version
		}
	}
	return list
}

func ask(ctx context.Context, m admin.Member, token string) nodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := admin.NewClient("http://"+m.Operator, token)
	var s admin.Status
	if err == nil {
		s, err = client.Status(ctx)
	}
	if err == nil && (s.Node != m.Node || s.Incarnation != m.Incarnation) {
		err = fmt.Errorf("%s answers as %s/%d", m.Operator, s.Node, s.Incarnation)
	}
	if err != nil {
		// What another incarnation says is not the state of this member.
		return nodeStatus{
			Status: admin.Status{Node: m.Node, Incarnation: m.Incarnation, DataCentre: m.DataCentre},
			State:  m.State, Error: err.Error(),
		}
	}
	return nodeStatus{Status: s, State: m.State}
}

func statusRows(w io.Writer, list []nodeStatus) {
	line(w, "NODE", "DATA CENTRE", "PHASE", "LEASE", "RULES", "INVENTORY", "LAG", "STORE", "ROLE")
	for _, s := range list {
		if s.Error != "" {
			line(w, s.Node, orDash(s.DataCentre), "silent, "+s.State, "-", "-", "-", "-", "-", "-")
			continue
		}
		lag := fmt.Sprintf("%d/%d", s.RulesLag, s.InventoryLag)
		line(w, s.Node, s.DataCentre, s.Phase, s.Lease.State, version(s.Rules), version(s.Inventory), lag, s.Store.State, roles(s.Status))
	}
}

// version marks a document whose newest version is refused.
func version(d admin.Document) string {
	if d.Refused != nil {
		return fmt.Sprintf("%d (newer refused)", d.Version)
	}
	return fmt.Sprint(d.Version)
}

func roles(s admin.Status) string {
	var list []string
	if s.Relay {
		list = append(list, "relay")
	}
	if s.Planner {
		list = append(list, "planner")
	}
	return orDash(strings.Join(list, ","))
}

func statusTable(w io.Writer, s admin.Status) {
	line(w, "node:", fmt.Sprintf("%s/%d", s.Node, s.Incarnation))
	line(w, "place:", s.DataCentre+", "+s.Region)
	line(w, "phase:", s.Phase)
	line(w, "lease:", fmt.Sprintf("%s, %d ms remain", s.Lease.State, s.Lease.RemainingMS))
	line(w, "role:", roles(s))
	documentLines(w, "rules", s.Rules)
	documentLines(w, "inventory", s.Inventory)
	if s.Records != nil {
		line(w, "records:", fmt.Sprintf("%d, newest index %d", s.Records.Count, s.Records.Newest))
	}
	line(w, "members:", s.Members)
	line(w, "store:", s.Store.State+since(s.Store.Since))
	if !s.Store.LastCall.IsZero() {
		line(w, "last store call:", s.Store.LastCall.UTC().Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(w)
	line(w, "SERVICE", "IMBALANCE", "BY ENTRIES", "CHURN", "UNAVAILABLE", "TOTAL S", "LONGEST S")
	for _, m := range s.Measures {
		imbalance := "-"
		if m.Imbalance != nil {
			imbalance = fmt.Sprintf("%.2f", *m.Imbalance)
		}
		line(w, m.Service, imbalance, fmt.Sprintf("%.2f", m.EntryImbalance), m.Churn, m.Unavailable,
			fmt.Sprintf("%.1f", m.UnavailableSeconds), fmt.Sprintf("%.2f", m.LongestSeconds))
	}
}

func documentLines(w io.Writer, name string, d admin.Document) {
	line(w, name+":", fmt.Sprintf("version %d%s", d.Version, since(d.Since)))
	if d.Refused != nil {
		reason := strings.ReplaceAll(d.Refused.Reason, "\n", "; ")
		line(w, name+" refused:", fmt.Sprintf("index %d at %s: %s", d.Refused.Index, d.Refused.At.UTC().Format(time.RFC3339), reason))
	}
}

func since(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return " since " + t.UTC().Format(time.RFC3339)
}
