package cmds

import (
	"errors"
	"fmt"
	"io"
	"maps"

	"burdocklift/audit"
	"burdocklift/budget"
	"burdocklift/conf"
	"burdocklift/place"
	"burdocklift/platform"
	"burdocklift/serve"
)

type checkCommand struct {
	output
	Settings  []string `help:"Settings of a node; may be repeated." placeholder:"FILE"`
	Inventory string   `help:"Inventory." placeholder:"FILE"`
	Rules     string   `help:"Rules." placeholder:"FILE"`
	Agent     []string `help:"Settings of a node on the platform; may be repeated." placeholder:"FILE"`
	Record    string   `help:"Operators' rules record of the platform, checked as nodes do, with the regions in the settings of --agent." placeholder:"FILE"`
	recordFlags
}

// Help implements kong.HelpProvider.
func (*checkCommand) Help() string {
	return `Checks files without the store and prints every problem with its file and line.

Rules records of the platform that are named without a flag are also searched for probable
mistakes, and compared with the record of --against or --store. Such findings go to the
standard output, and the exit status is then 1. It is 2 if a record can't be read.

Example: burdocklift check --inventory inventory.toml --rules rules.toml
Example: burdocklift check record.json --agent settings.toml --against old.json` + statusHelp
}

// Run checks the files. With --json the problems go to the standard output.
func (c *checkCommand) Run(e *environment) error {
	type file struct {
		Kind string `json:"kind"`
		Name string `json:"file"`
		OK   bool   `json:"ok"`
	}
	result := struct {
		Files    []file        `json:"files"`
		Problems conf.Problems `json:"problems"`
		// Warnings tell of rules that are valid and probably not meant.
		Warnings []string `json:"warnings,omitempty"`
		*recordResult
	}{Problems: conf.Problems{}}
	check := func(kind, name string, parse func(string, []byte) error) error {
		b, err := readFile(name)
		if err == nil {
			err = parse(name, b)
		}
		var problems conf.Problems
		if err != nil && !errors.As(err, &problems) {
			return err
		}
		result.Problems = append(result.Problems, problems...)
		result.Files = append(result.Files, file{Kind: kind, Name: name, OK: err == nil})
		return nil
	}
	for _, name := range c.Settings {
		if err := check("settings", name, func(n string, b []byte) error { _, err := conf.ParseSettings(n, b); return err }); err != nil {
			return err
		}
	}
	for _, d := range []struct {
		kind conf.Kind
		name string
	}{{conf.KindInventory, c.Inventory}, {conf.KindRules, c.Rules}} {
		if d.name == "" {
			continue
		}
		if err := check(string(d.kind), d.name, func(n string, b []byte) error { _, err := d.kind.Parse(n, b); return err }); err != nil {
			return err
		}
	}
	site := audit.Site{DataCentres: make(map[string]string), RequestTime: serve.MaxRequestTime}
	for _, name := range c.Agent {
		if err := check("agent settings", name, func(n string, b []byte) error {
			s, err := conf.ParseAgent(n, b)
			maps.Copy(site.DataCentres, s.Regions)
			if room := budget.LargestBody(s.Memory); err == nil && (site.LargestBody == 0 || room < site.LargestBody) {
				site.LargestBody = room
			}
			return err
		}); err != nil {
			return err
		}
	}
	if c.Record != "" {
		if err := check("rules record", c.Record, func(n string, b []byte) error {
			set, err := platform.RulesDecoder(site.DataCentres)(b)
			if err != nil {
				return conf.Problems{{File: n, Line: 1, Message: err.Error()}}
			}
			for _, service := range place.New(set, nil).Conflicts() {
				result.Warnings = append(result.Warnings, fmt.Sprintf("%s: service %q has keys, and its routes have no region in common: "+
					"requests for keys whose owner is outside the regions of their route are refused", n, service))
			}
			return nil
		}); err != nil {
			return err
		}
	}
	if len(c.Files) > 0 {
		var err error
		if result.recordResult, err = c.checkRecords(e, site); err != nil {
			return err
		}
		for _, name := range c.Files {
			result.Files = append(result.Files, file{Kind: "rules record", Name: name, OK: !result.failed[name]})
		}
	}
	if len(c.Files) == 0 && (c.Against != "" || c.Store != "") {
		return fmt.Errorf("%w: --against and --store need a rules record to compare", ErrUsage)
	}
	if len(result.Files) == 0 {
		return fmt.Errorf("%w: name at least one file, or one with --settings, --inventory, --rules, --agent or --record", ErrUsage)
	}
	if err := c.print(e, result, func(w io.Writer) {
		line(w, "KIND", "FILE", "RESULT")
		for _, f := range result.Files {
			line(w, f.Kind, f.Name, map[bool]string{true: "ok", false: "invalid"}[f.OK])
		}
		for _, text := range result.Warnings {
			line(w, "warning", text)
		}
		result.print(w)
	}); err != nil {
		return err
	}
	if len(result.Problems) > 0 {
		return result.Problems
	}
	return result.err()
}
