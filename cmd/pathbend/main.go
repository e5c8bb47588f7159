// Command pathbend runs a node of a cluster, and has commands that operate the cluster.
package main

import (
	"os"

	"github.com/pathbend/pathbend/internal/command"
	"github.com/pathbend/pathbend/platform"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, platform.NewCommand()))
}
