package main

import (
	"bytes"
	"errors"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// seed is that of the short run, which is the same each time.
const seed = 20261204

func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "burdocklift")
	if text, err := exec.Command("go", "build", "-o", path, "burdocklift").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	return path
}

func soak(t *testing.T, o Options) (string, error) {
	t.Helper()
	o.Dir = t.TempDir()
	var out bytes.Buffer
	err := Soak(t.Context(), o, &out)
	t.Log(out.String())
	return out.String(), err
}

// Guards against broken promises of real processes under kills, pauses, stops, and
// a store and paths that misbehave.
func TestShortSoak(t *testing.T) {
	binary := build(t)
	for name, o := range map[string]Options{
		"faults":                                 {Seed: seed, Time: 12 * time.Second, Nodes: 5},
		"store silent to some nodes, and limits": {Seed: 20261205, Time: 15 * time.Second, Nodes: 6},
		"store goes back in series":              {Seed: 20261207, Time: 15 * time.Second, Nodes: 5, Series: true},
	} {
		t.Run(name, func(t *testing.T) {
			o.Binary = binary
			if _, err := soak(t, o); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against checks that find nothing.
func TestPlantsAreFound(t *testing.T) {
	binary := build(t)
	for plant, promises := range map[string][]string{
		"resend": {"TWICE"}, "truncate": {"MIXED"}, "linger": {"GONE"}, "late": {"CONFIG"}, "limit": {"LIMIT"},
		"refuse": {"REFUSED", "TWICE"}, // the node may repeat what is said not to have run
	} {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			faults := 5 * time.Second
			if plant == "late" || plant == "limit" { // a change or a limit has to come up, and then time to pass
				faults = 10 * time.Second
			}
			out, err := soak(t, Options{Binary: binary, Seed: seed, Time: faults, Nodes: 4, Plant: plant})
			named := func(promise string) bool { return strings.Contains(out, promise+": ") }
			if !errors.Is(err, errBroken) || !slices.ContainsFunc(promises, named) {
				t.Errorf("error is %v, want one of %v to be broken", err, promises)
			}
		})
	}
}

// Guards against arguments that start a run of another kind.
func TestInvalidOptions(t *testing.T) {
	for want, o := range map[string]Options{
		"out of range":  {Nodes: 1},
		"is not one of": {Nodes: 2, Plant: "none"},
	} {
		if _, err := soak(t, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want %q", err, want)
		}
	}
}
