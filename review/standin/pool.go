package main

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// playPool trains on one service, then moves the route to another one whose samplers serve the same
// model, and restarts the node that executes the open step as planned.
func playPool(c *cluster, record *recorder, trouble bool) verdict {
	former, err := c.addModelSamplers("llm-a", 0, 4)
	if err != nil {
		return failed
	}
	other, err := c.addModelSamplers("llm-b", 4, 4)
	if err != nil {
		return failed
	}
	samplers := append(former, other...)
	defer func() { record.logRuns(samplers) }()
	services := []string{"llm-a", "llm-b"}
	c.putConfig([]route{rolloutRoute("llm-a", nil)}, services)
	if !c.startNodes(record) {
		return failed
	}
	const movedStep, lastStep = 4, 5
	result := held
	for number := 1; number <= lastStep; number++ {
		// Step k is asked once version k is named, and allows k - 1 and newer.
		lengths := []int{20, 22, 24, 26, 21, 23, 25, 27}
		if number == movedStep {
			lengths = []int{60, 62, 64, 66, 61, 63, 65, 67}
		}
		step := &job{
			id: fmt.Sprintf("%016x", 0xa0+number), step: number, minVersion: uint64(max(number-1, 1)), items: newItems(uint64(0xa0+number), lengths...),
		}
		if !c.submit(record, step) {
			return failed
		}
		began := time.Now()
		steady := began
		if trouble && number == movedStep {
			time.Sleep(300 * time.Millisecond)
			c.putConfig([]route{rolloutRoute("llm-b", nil)}, services)
			record.log("configuration %d, which moves the route to llm-b, is acknowledged", c.version)
			time.Sleep(300 * time.Millisecond)
			if !c.restart(record, c.executor()) {
				return failed
			}
			steady = time.Now().Add(contactTime)
		}
		c.follow(record, step, began.Add(stepTime))
		if c.judgeStep(record, step, samplers, steady, time.Now()) == broken {
			result = broken
		}
		c.end(record, step)
		for _, s := range samplers {
			record.log("sampler %s of %s has version %d", s.id, s.service, s.version())
		}
		c.nameVersion(record, uint64(number+1))
	}
	return result
}

// restart stops a node as planned and starts it again.
func (c *cluster) restart(record *recorder, n *node) bool {
	record.log("node %s gets SIGTERM", n.name)
	n.terminate()
	record.log("node %s has ended and is started again", n.name)
	return c.start(n) == nil
}

// executor returns the node that holds the partition of the jobs, as the store tells.
func (c *cluster) executor() *node {
	answer := httptest.NewRecorder()
	c.store.ServeHTTP(answer, httptest.NewRequest("GET", platform.PathOwners+"?"+platform.QueryGroup+"=pathbend-executors", nil))
	var document platform.OwnersDocument
	_ = json.Unmarshal(answer.Body.Bytes(), &document)
	for _, row := range document.Partitions {
		for _, n := range c.nodes {
			if len(row) > 2 && string(row[1]) == "0" && string(row[2]) == fmt.Sprintf("%q", n.name) {
				return n
			}
		}
	}
	return c.nodes[0]
}
