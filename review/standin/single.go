package main

import "time"

// playSingle has a step on a route with singleVersion open while the next version is named, and
// crashes the sampler that runs its longest item.
func playSingle(c *cluster, record *recorder, trouble bool) verdict {
	samplers, err := c.addModelSamplers("llm-a", 0, 7)
	if err != nil {
		return failed
	}
	defer func() { record.logRuns(samplers) }()
	c.putConfig([]route{rolloutRoute("llm-a", map[string]any{"singleVersion": true})}, []string{"llm-a"})
	if !c.startNodes(record) {
		return failed
	}
	// The trainer asks ahead: step 0 is complete, and the next version named, while step 1 is open.
	lengths := make([]int, 40)
	for i := range lengths {
		lengths[i] = 20 + i%12
	}
	first := &job{id: "00000000000000a0", step: 0, minVersion: 1, items: newItems(0xa0, lengths...)}
	for i := range lengths {
		lengths[i] = 5 + i%5
	}
	const longest = 3
	lengths[longest] = 176
	second := &job{id: "00000000000000a1", step: 1, minVersion: 1, items: newItems(0xa1, lengths...)}
	long := second.items[longest].id
	if !c.submit(record, first) {
		return failed
	}
	time.Sleep(time.Second)
	if !c.submit(record, second) {
		return failed
	}
	began := time.Now()
	c.follow(record, first, began.Add(stepTime/4))
	if !c.end(record, first) {
		return failed
	}
	c.nameVersion(record, 2)
	steady := began
	if trouble {
		holder := awaitHolder(samplers, long, began.Add(stepTime/3))
		if holder == nil {
			record.log("the other samplers did not begin to change their weights in time")
			return failed
		}
		record.log("sampler %s, which runs item %s, crashes", holder.id, long)
		holder.crash()
		steady = time.Now().Add(contactTime)
	}
	c.follow(record, second, began.Add(stepTime))
	result := c.judgeStep(record, second, samplers, steady, time.Now())
	c.end(record, second)
	return result
}

// awaitHolder returns the sampler that runs an item, once all others have version 2 or load it. It
// returns nil if that is not so in time.
func awaitHolder(samplers []*sampler, item string, until time.Time) *sampler {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		var holder *sampler
		ordered := 0
		for _, s := range samplers {
			if s.isRunning(item) {
				holder = s
			} else if s.version() >= 2 || s.isLoading() {
				ordered++
			}
		}
		if holder != nil && ordered == len(samplers)-1 {
			return holder
		}
	}
	return nil
}
