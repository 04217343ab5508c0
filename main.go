// Command burdocklift routes requests to servers that own keys exclusively.
package main

import (
	"os"

	"burdocklift/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
