// Package traces holds the recorded traces. Those of the demo are in the binary.
package traces

import "embed"

// Demo holds authority.jsonl and cascadia.jsonl, recorded with
// `burdocklift emulate run --record` from the .toml files beside them.
//
//go:embed authority.jsonl cascadia.jsonl
var Demo embed.FS
