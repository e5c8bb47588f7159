// Command pathbend-lab emulates what surrounds pathbend: engines, back ends,
// the platform, trainers and callers. It runs the demo, load and experiments.
package main

func main() {}
