// Package fanout decides how the entries of a keyed topic of the log reach many nodes.
//
// If every node read the topic itself, the log would serve nodes times entries: for 985
// nodes and 9,999 samplers with entries of 0.6 kB, 5.9 GB at a start, which is 74 s of the
// 80 MB/s that the users' log serves to all its readers together. Instead a few nodes, the
// readers, read the topic. The other nodes request the entries that they may use from a
// reader, one in their own zone if there is one, starting at the offset that they have
// reached: a node's offset never moves backwards, and gaps are detected. The load on the
// log grows with the number of readers times the number of entries; the load of a single
// node does not grow with the number of nodes.
//
// An answer of a reader is not as current as the log itself. It carries the age of the
// reader's entries, which the requesting node adds to the age of its own. Readers lag when the
// log is slow: a node then uses the freshest answer, since reads of its own would make the log
// slower still. Only a node none of whose readers answers reads the log itself.
//
// A topic without keys, the records of the batch jobs, is shared in the same way (RecordCache).
// Its readers' answers are used whatever their age, and another reader is asked after a late one
// (LateReaders).
//
// Reads of the log by nodes whose readers do not answer are spread over the nodes, and become rarer
// while the log is slow (Fallback).
//
// The package makes no calls; package topicreader makes them.
package fanout
