package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// retentionTime is statusIntervalS of the settings of playLong, longStepTime how long its trainer
	// waits for the step.
	retentionTime = 35 * time.Second
	longStepTime  = 90 * time.Second
)

// playLong has a step that takes longer than statusIntervalS, and crashes one of its samplers.
func playLong(c *cluster, record *recorder, trouble bool) verdict {
	c.retention = retentionTime
	samplers, err := c.addModelSamplers("llm-a", 0, 7)
	if err != nil {
		return failed
	}
	defer func() { record.logRuns(samplers) }()
	c.putConfig([]route{rolloutRoute("llm-a", map[string]any{"dueMs": 60000})}, []string{"llm-a"})
	if !c.startNodes(record) {
		return failed
	}
	// Six rounds of some 9.3 s for 56 slots.
	lengths := make([]int, 6*56)
	for i := range lengths {
		lengths[i] = 180 + i%10
	}
	step := &job{id: "00000000000000a1", step: 1, minVersion: 1, items: newItems(0xa1, lengths...)}
	if !c.submit(record, step) {
		return failed
	}
	began := time.Now()
	if trouble {
		time.Sleep(4 * time.Second)
		record.log("sampler %s crashes", samplers[0].id)
		samplers[0].crash()
	}
	unknown := make(map[*node]time.Time)
	for n := 0; time.Since(began) < longStepTime; n++ {
		if c.read(record, step, c.nodes[n%len(c.nodes)]) {
			break
		}
		time.Sleep(200 * time.Millisecond)
		if time.Since(began) > retentionTime {
			c.findUnknown(record, step, unknown)
		}
		if len(unknown) == len(c.nodes) {
			break
		}
	}
	record.log("step 1 is open since %.1f s: %d of %d items listed, %d nodes say that there is no such batch job",
		time.Since(began).Seconds(), len(step.listed), len(step.items), len(unknown))
	c.end(record, step)
	switch {
	case len(unknown) > 0:
		return broken
	case len(step.listed) < len(step.items):
		return failed
	}
	return held
}

// findUnknown asks all nodes for an open job and notes which answer 404.
func (c *cluster) findUnknown(record *recorder, j *job, unknown map[*node]time.Time) {
	for _, n := range c.nodes {
		if _, known := unknown[n]; known {
			continue
		}
		got := send(context.Background(), n.front, outgoing{
			method: "GET", host: appHost, path: fmt.Sprintf("/-/lots/%s?afterRev=%d", j.id, j.next), wait: 2 * time.Second,
		})
		if got.whole && got.status == 404 {
			unknown[n] = time.Now()
			record.log("node %s answers 404 for job %s, which was accepted and not ended: %s", n.name, j.id, got.body)
		}
	}
}
