package cmds

import "fmt"

type completionCommand struct{}

// Help implements kong.HelpProvider.
func (*completionCommand) Help() string {
	return `Prints the line that sets up completion in bash; the program itself then answers the shell.

Example: eval "$(burdocklift completion)"` + statusHelp
}

// Run prints the line for the shell.
func (*completionCommand) Run(e *environment) error {
	if _, err := fmt.Fprintln(e.stdout, "complete -C burdocklift burdocklift"); err != nil {
		return fmt.Errorf("print completion: %w", err)
	}
	return nil
}
