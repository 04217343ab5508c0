package cmds

import (
	"fmt"
	"io"

	"burdocklift/event"
)

type eventsCommand struct {
	output
	Markdown bool `help:"Print the page docs/events.md."`
	Number   int  `arg:"" optional:"" help:"Number of the event to explain."`
}

// Help implements kong.HelpProvider.
func (*eventsCommand) Help() string {
	return `Explains a numbered log event, or lists all of them.

Example: burdocklift events 1101` + statusHelp
}

type explanation struct {
	Number  int    `json:"number"`
	Name    string `json:"name"`
	Level   string `json:"level"`
	Package string `json:"package"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

func explain(e *event.Event) explanation {
	r, _ := event.RangeOf(e.Number())
	return explanation{
		Number: e.Number(), Name: e.Name(), Level: e.Level().String(), Package: r.Package,
		Meaning: e.Meaning(), Action: e.Action(),
	}
}

// Run prints one event or the list.
func (c *eventsCommand) Run(e *environment) error {
	if c.Markdown {
		return event.Markdown(e.stdout)
	}
	if c.Number != 0 {
		ev, ok := event.Find(c.Number)
		if !ok {
			return fmt.Errorf("%w: no event has the number %d", ErrUsage, c.Number)
		}
		x := explain(ev)
		return c.print(e, x, func(w io.Writer) {
			line(w, "number:", x.Number)
			line(w, "name:", x.Name)
			line(w, "level:", x.Level)
			line(w, "package:", x.Package)
			line(w, "meaning:", x.Meaning)
			line(w, "action:", x.Action)
		})
	}
	list := []explanation{}
	for _, ev := range event.All() {
		list = append(list, explain(ev))
	}
	return c.print(e, list, func(w io.Writer) {
		line(w, "NUMBER", "LEVEL", "PACKAGE", "NAME")
		for _, x := range list {
			line(w, x.Number, x.Level, x.Package, x.Name)
		}
	})
}
