package cmds

import (
	"context"
	"net/http"
	"os"
	"testing"

	"burdocklift/platform"
	"burdocklift/platform/stand"
	"burdocklift/store"
)

// Guards against an agent that does not follow the operators' records: rules with regions, rules
// that name a region of no data centre, and an evacuation and its end.
func TestAgentFollowsPlacement(t *testing.T) {
	ledger, address := startLedger(t)
	a := newAgent(t, "n", "archive", freeAddresses(t, 1)[0], address)
	text, err := os.ReadFile(a.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(a.file, append(text, "regions = { d = \"r\", e = \"s\" }\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	a.start(t)
	a.startTarget(t, a.target, func(*stand.Target, stand.Execution) {})
	a.awaitServing(t)
	setRegion := func(version int, region string) {
		ledger.Put(platform.RulesKey, stand.Rules(version, "h.example", "none", []stand.Route{
			{Prefix: "/read/", Service: "archive", Idempotent: true, Regions: []string{region}},
		}))
	}
	refused := func(reason string) func(stand.Response) bool {
		return func(resp stand.Response) bool {
			return resp.Status == http.StatusServiceUnavailable && resp.Body == reason
		}
	}
	setRegion(2, "s")
	a.await(t, refused("region"))
	setRegion(3, "r")
	a.awaitServing(t)
	setRegion(4, "unknown") // stays out of force: requests would be refused for their region
	ledger.Put(platform.EvacuationPrefix+"d", nil)
	a.await(t, refused("evacuated"))
	if _, err := ledger.Client("operator").Commit(context.Background(), store.Txn{Deletes: []string{platform.EvacuationPrefix + "d"}}); err != nil {
		t.Fatal(err)
	}
	a.awaitServing(t)
}
