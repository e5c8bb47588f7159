// Package fanout decides how what a keyed topic of the log holds reaches many nodes.
//
// If each node read the topic itself, the log would hand out nodes times entries: 985 nodes
// and 9,999 samplers of 0.6 kB make 5.9 GB at a start, 74 s of the 80 MB a second that the
// users' log has for all its readers. So few nodes read it, the readers, and the others ask
// one of them, of their zone if there is one, for the entries that they may use, from the
// offset on that they have: nothing moves backwards, and a gap is seen. What all readers
// take from the log grows with their number times the entries; a node's own part does not
// grow with the number of nodes.
//
// A reader's word is never that of the log: it comes with its age, which whoever asks adds
// to its own, and a node whose readers fail or lag reads the log itself.
//
// The package is pure: it makes no calls. Package feed drives it.
package fanout
