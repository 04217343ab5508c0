package cmds

import (
	"fmt"
	"io"
	"os"

	"burdocklift/story"
)

type explainCommand struct {
	output
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" help:"Logs of nodes; standard input if there are none."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string {
	return `Prints what logs of nodes tell about one request, in order: the lines about it, and
before and after them what the nodes that took part, and the owner of its key, came to
believe. Lines may have other text before the JSON object.

Example: burdocklift explain 9c41d07be2a35f68 node1.log node2.log` + statusHelp
}

// Run prints the story of a request.
func (c *explainCommand) Run(e *environment) error {
	var r story.Reader
	if len(c.Files) == 0 {
		if err := r.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readLog(&r, name); err != nil {
			return err
		}
	}
	s, err := r.Story(c.ID)
	if err != nil {
		return err
	}
	return c.print(e, s, func(w io.Writer) {
		line(w, "TIME", "NODE", "EVENT", "", "DETAIL")
		for _, entry := range s.Entries {
			line(w, entry.Time.Format("15:04:05.000"), entry.Node, entry.Event, entry.Message, entry.Detail())
		}
		if s.Left > 0 {
			line(w, fmt.Sprintf("%d earlier changes of belief are not shown.", s.Left))
		}
	})
}

func readLog(r *story.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	err = r.Read(f)
	// The file was only read, so that its close loses nothing.
	_ = f.Close()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
