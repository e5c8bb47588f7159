// Package topicreader reads a topic of the log either from the log itself or through
// another node that reads the log (a reader). Package fanout decides which.
//
// Feed is a sharedlog.Log whose keyed reads use either source, so that the topic's follower
// need not distinguish them. Its state is the cache from which a reader serves other nodes,
// the groups that the follower has loaded, and the readers that failed recently. It starts
// no goroutines; it calls the log, calls other nodes through a Caller, and serves their
// read requests.
//
// RecordFeed does the same for a topic without keys, whose readers keep consecutive records
// and which a follower reads from an offset on.
package topicreader
