package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// playStreams sends streams that may be resumed to a node and stops it as planned while they run.
func playStreams(c *cluster, record *recorder, trouble bool) verdict {
	samplers, err := c.addModelSamplers("llm-a", 0, 8)
	if err != nil {
		return failed
	}
	defer func() { record.logRuns(samplers) }()
	c.putConfig([]route{{
		"name": "r-stream", "host": appHost, "pathPrefix": "/gen/", "kind": platform.KindStream, "resumable": true, "sticky": true,
		"timeoutMs": 10000, "sloMs": 400, "priority": 1, "service": "llm-a", "maxAttempts": 3,
	}}, []string{"llm-a"})
	if !c.startNodes(record) {
		return failed
	}
	const streams, events = 10, 50
	target := c.nodes[0]
	var group sync.WaitGroup
	attempts := make([]attempt, streams)
	for i := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			id := fmt.Sprintf("%016x", 0xa000+i)
			record.log("stream %s sent to %s", id, target.name)
			attempts[i] = send(context.Background(), target.front, outgoing{
				id: id, method: "POST", host: appHost, path: "/gen/1", body: []byte("prompt"), wait: 8 * time.Second,
				header: map[string]string{platform.HeaderModel: model, platform.HeaderTokenCounts: fmt.Sprintf("100,%d", events)},
			})
		})
	}
	time.Sleep(600 * time.Millisecond)
	var stopped time.Time
	if trouble {
		record.log("node %s gets SIGTERM", target.name)
		stopped = time.Now()
		target.signal(syscall.SIGTERM)
	}
	group.Wait()
	result := held
	for _, got := range attempts {
		record.logAt(got.endedAt, "stream %s ended after %.3f s: status %d, whole %v, %d bytes, %s", got.id, got.endedAt.Sub(got.sentAt).Seconds(), got.status, got.whole, len(got.body), got.failure)
		if trouble && !got.whole && got.sentAt.Before(stopped) && got.endedAt.After(stopped) {
			result = broken
		}
	}
	return result
}
