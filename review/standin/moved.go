package main

import "time"

// playMoved moves the route of an open step to another service and has the sampler of the former one
// leave as planned.
func playMoved(c *cluster, record *recorder, trouble bool) verdict {
	former, err := c.addModelSamplers("llm-a", 0, 1)
	if err != nil {
		return failed
	}
	other, err := c.addModelSamplers("llm-b", 1, 7)
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
	lengths := make([]int, 32)
	for i := range lengths {
		lengths[i] = 28 + i%8
	}
	step := &job{id: "00000000000000a1", step: 1, minVersion: 1, items: newItems(0xa1, lengths...)}
	if !c.submit(record, step) {
		return failed
	}
	began := time.Now()
	steady := began
	if trouble {
		time.Sleep(300 * time.Millisecond)
		acknowledged := c.putConfig([]route{rolloutRoute("llm-b", nil)}, services)
		record.log("configuration %d, which moves the route to llm-b, is acknowledged", c.version)
		time.Sleep(time.Until(acknowledged.Add(applyTime)))
		record.log("sampler %s of llm-a is draining", former[0].id)
		former[0].leave()
		steady = time.Now().Add(drainTime)
	}
	c.follow(record, step, began.Add(stepTime))
	result := c.judgeStep(record, step, samplers, steady, time.Now())
	c.end(record, step)
	return result
}
