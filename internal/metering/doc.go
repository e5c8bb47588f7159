// Package metering counts the requests that back ends began, by tenant and fixed time
// window, and reports each window once to the platform.
//
// Every process counts the requests it sent (Counter) and soon after appends its counts
// to a topic of the shared log (Recorder). The node that holds the reporting duty sums
// the entries of the topic (Aggregator). Once all processes have closed a window, or
// shortly before its report is due, the node appends its decision on the content of the
// report to the log and sends the first decision that the log holds for the window
// (Reporter). Two reports of a window therefore never differ, whichever nodes send them
// and however late.
//
// Counter and Aggregator do no I/O and read no clock; Recorder and Reporter are the loops
// that drive them.
package metering
