package main

import "time"

const (
	// stepTime is how long a trainer waits for a step, the deadline of its requests on the site.
	stepTime = 12 * time.Second
	// stuckTime is how long, in a steady state, an item may have been at no sampler when its step is
	// out of time (RULES.md, LOST).
	stuckTime = 5 * time.Second
	// contactTime is contactMs of the settings: so long after a disruption the state is not steady.
	contactTime = 3 * time.Second
	// applyTime is configApplyMs of the settings.
	applyTime = 2 * time.Second
)

// model is the model that is trained.
const model = "m0"

// addModelSamplers adds model samplers of 8 slots to a service, at version 1, which make an event
// each 50 ms. first is the number of the first one.
func (c *cluster) addModelSamplers(service string, first, count int) ([]*sampler, error) {
	var added []*sampler
	for i := range count {
		number := first + i
		s, err := newSampler(samplerID(number), service, zoneNames[number%len(zoneNames)], 8, map[string]uint64{model: 1}, c.store,
			generate(60*time.Millisecond, 50*time.Millisecond))
		if err != nil {
			return nil, err
		}
		added = append(added, s)
	}
	return added, nil
}

// startNodes starts the nodes and waits until they are ready and have been in touch for a while.
func (c *cluster) startNodes(record *recorder) bool {
	if err := c.addNodes(); err != nil {
		record.log("start the nodes: %v", err)
		return false
	}
	if !c.awaitReady(20 * time.Second) {
		record.log("the nodes are not ready")
		return false
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return true
}

// follow reads the results of a step at all nodes in turn until all are listed or the step is out of
// time.
func (c *cluster) follow(record *recorder, j *job, until time.Time) {
	for n := 0; !c.read(record, j, c.nodes[n%len(c.nodes)]) && time.Now().Before(until); n++ {
		time.Sleep(100 * time.Millisecond)
	}
}
