// Command pathbend runs a node and operates a cluster.
package main

func main() {}
