// Package metering counts, by tenant and window of the clock, the requests that back
// ends began, and reports each window once to the platform.
//
// Every process counts what it sent (Counter) and writes its counts into a topic of the
// shared log soon after (Recorder). The node that holds the duty reads the topic (Book),
// decides what is reported of a window once all processes have closed it or its time
// runs out, writes that decision down, and sends whatever decision of the window stands
// first in the log (Reporter). So two reports of a window never differ, whichever nodes
// send them and however late.
//
// Counter and Book are pure; Recorder and Reporter are the loops that drive them.
package metering
