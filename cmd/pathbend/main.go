// Command pathbend runs a node and operates a cluster.
package main

import (
	"os"

	"github.com/pathbend/pathbend/internal/command"
	"github.com/pathbend/pathbend/platform"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, platform.NewCommand()))
}
