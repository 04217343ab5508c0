package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"burdocklift/audit"
	"burdocklift/conf"
	"burdocklift/platform"
)

var (
	// errFindings is returned after findings in rules records were printed.
	errFindings = errors.New("rules records have findings")
	// errUnread marks a record in force that was not read. It ends with ExitUsage, as a file that
	// can't be read does, because ExitFailure means findings.
	errUnread = errors.New("the record in force was not read")
)

// recordFlags are the flags of check for rules records of the platform.
type recordFlags struct {
	Files   []string      `arg:"" optional:"" name:"file" help:"Rules records of the platform, searched for faults and probable mistakes."`
	Against string        `help:"Rules record in force, to compare with." placeholder:"FILE" xor:"inforce"`
	Store   string        `help:"Base URL of the platform's metadata store, to compare with the record in force there." placeholder:"URL" xor:"inforce"`
	Timeout time.Duration `help:"Time after which reading the store is given up." default:"30s"`
}

// finding is a finding in a rules record.
type finding struct {
	Severity audit.Severity `json:"severity"`
	conf.Problem
}

// recordChanges is what a rules record changes.
type recordChanges struct {
	Name    string        `json:"file"`
	Changes []conf.Change `json:"changes"`
}

// recordResult is what check found in rules records.
type recordResult struct {
	Findings []finding       `json:"findings"`
	Changes  []recordChanges `json:"changes,omitempty"`
	failed   map[string]bool // by file with findings
}

func (r *recordResult) add(severity audit.Severity, p conf.Problem) {
	r.Findings = append(r.Findings, finding{Severity: severity, Problem: p})
	r.failed[p.File] = true
}

// print writes one finding in each line, in the form file:line that editors follow.
func (r *recordResult) print(w io.Writer) {
	if r == nil {
		return
	}
	for _, f := range r.Findings {
		p := f.Problem
		p.Message = fmt.Sprintf("%s: %s", f.Severity, p.Message)
		line(w, p)
	}
	for _, c := range r.Changes {
		line(w, fmt.Sprintf("%s: %d changes", c.Name, len(c.Changes)))
		comparison{Changes: c.Changes}.table(w)
	}
}

func (r *recordResult) err() error {
	if r == nil || len(r.Findings) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d", errFindings, len(r.Findings))
}

func (c *recordFlags) checkRecords(e *environment, site audit.Site) (*recordResult, error) {
	inForce, err := c.inForce(e)
	if err != nil {
		return nil, err
	}
	result := &recordResult{Findings: []finding{}, failed: make(map[string]bool)}
	for _, name := range c.Files {
		b, err := readFile(name)
		if err != nil {
			return nil, err
		}
		r, err := platform.ReadRulesRecord(name, b)
		var problems conf.Problems
		if errors.As(err, &problems) {
			for _, p := range problems {
				result.add(audit.Error, p)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		found := audit.Check(r.Draft(), site)
		if inForce != nil {
			found = append(audit.CheckVersion(r.Draft(), *inForce), found...)
			result.Changes = append(result.Changes, recordChanges{Name: name, Changes: append([]conf.Change{}, audit.Diff(*inForce, r.Draft())...)})
		}
		for _, f := range found {
			p := conf.Problem{File: name, Message: f.Message}
			p.Key, p.Line = r.Locate(f.Part)
			if f.Other != nil {
				_, other := r.Locate(*f.Other)
				p.Message += fmt.Sprintf(" (line %d)", other)
			}
			result.add(f.Severity, p)
		}
	}
	return result, nil
}

// inForce reads the record to compare with, or returns nil if none was named.
func (c *recordFlags) inForce(e *environment) (*audit.Draft, error) {
	var (
		b    []byte
		name string
		err  error
	)
	switch {
	case c.Against != "":
		name = c.Against
		b, err = readFile(name)
	case c.Store != "":
		name = "stored " + platform.RulesKey
		b, err = c.readStore(e)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r, err := platform.ReadRulesRecord(name, b)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnread, err)
	}
	d := r.Draft()
	return &d, nil
}

func (c *recordFlags) readStore(e *environment) ([]byte, error) {
	u, err := url.Parse(c.Store)
	if err != nil || u.Scheme != "http" || u.Host == "" || (u.Path != "" && u.Path != "/") {
		return nil, fmt.Errorf("%w: --store %q is not a URL such as http://10.0.0.5:8500", ErrUsage, c.Store)
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	it, err := platform.NewStore(u.Host).Read(ctx, platform.RulesKey)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnread, err)
	}
	return it.Value, nil
}
