package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	appHost     = "app.example"
	rolloutPath = "/roll/"
)

// jobItem is an item of a batch job: its group and how many events its text has.
type jobItem struct {
	id, group string
	events    int
}

// job is a batch job of a trainer.
type job struct {
	id         string
	step       int
	minVersion uint64
	items      []jobItem

	// listed holds the results read, by item.
	listed map[string]listedResult
	next   int
}

type listedResult struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Message  string   `json:"message"`
	Versions []uint64 `json:"versions"`
}

// submit hands a batch job in, at one node after another until one accepts it.
func (c *cluster) submit(record *recorder, j *job) bool {
	requests := []map[string]any{}
	for _, item := range j.items {
		requests = append(requests, map[string]any{
			"id": item.id, "path": rolloutPath + "1", "group": item.group, "tokens": 100 + item.events,
			"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + item.id)),
			"headers": map[string]string{
				platform.HeaderModel: model, platform.HeaderTokenCounts: fmt.Sprintf("100,%d", item.events),
				platform.HeaderLengthHint: fmt.Sprint(item.events),
			},
		})
	}
	body, err := json.Marshal(map[string]any{"step": j.step, "model": model, "minVersion": j.minVersion, "desired": 100, "requests": requests})
	if err != nil {
		panic(err)
	}
	j.listed = make(map[string]listedResult)
	for try := range 10 {
		n := c.nodes[try%len(c.nodes)]
		got := send(context.Background(), n.front, outgoing{
			id: j.id, method: "POST", host: appHost, path: rolloutPath + j.id, body: body, wait: 3 * time.Second,
			header: map[string]string{"Content-Type": "application/json"},
		})
		record.log("job %s step %d of %d items sent to %s: status %d %s", j.id, j.step, len(j.items), n.name, got.status, got.failure)
		if got.whole && got.status == 202 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// read reads the next results of a job at a node. It reports whether all items are listed.
func (c *cluster) read(record *recorder, j *job, n *node) bool {
	got := send(context.Background(), n.front, outgoing{
		method: "GET", host: appHost, path: fmt.Sprintf("/-/lots/%s?afterRev=%d", j.id, j.next), wait: 2 * time.Second,
		header: map[string]string{platform.HeaderWaitMs: "300"},
	})
	var page struct {
		Total     int            `json:"total"`
		NextToken int            `json:"nextToken"`
		Results   []listedResult `json:"results"`
	}
	if !got.whole || got.status != 200 || json.Unmarshal(got.body, &page) != nil {
		return false
	}
	for _, result := range page.Results {
		record.log("job %s item %s listed as %s, versions %v, %d bytes", j.id, result.ID, result.State, result.Versions, len(result.Message))
		j.listed[result.ID] = result
	}
	j.next = page.NextToken
	return len(j.listed) == len(j.items)
}

// end ends a job and reports whether that was acknowledged.
func (c *cluster) end(record *recorder, j *job) bool {
	for try := range 5 {
		n := c.nodes[try%len(c.nodes)]
		got := send(context.Background(), n.front, outgoing{method: "DELETE", host: appHost, path: "/-/lots/" + j.id, wait: 3 * time.Second})
		record.log("job %s ended at %s: status %d", j.id, n.name, got.status)
		if got.whole && got.status == 200 {
			return true
		}
	}
	return false
}

// nameVersion names the next version of the model, as a trainer does.
func (c *cluster) nameVersion(record *recorder, version uint64) {
	content, err := json.Marshal(map[string]any{"model": model, "version": version})
	if err != nil {
		panic(err)
	}
	c.store.Put(platform.TopicOperator, platform.KeyVersionPrefix+model, content)
	c.namedAt = time.Now()
	record.log("version %d of %s is named", version, model)
}

// newItems returns items of a job, four to a group, with the given numbers of events.
func newItems(prefix uint64, events ...int) []jobItem {
	items := make([]jobItem, 0, len(events))
	for i, count := range events {
		items = append(items, jobItem{id: fmt.Sprintf("%08x%08x", prefix, i), group: fmt.Sprintf("g%x-%d", prefix, i/4), events: count})
	}
	return items
}

// rolloutRoute is a route of batch jobs.
func rolloutRoute(service string, more map[string]any) route {
	r := route{
		"name": "r-roll", "host": appHost, "pathPrefix": rolloutPath, "kind": platform.KindRollout, "sticky": true, "resumable": true,
		"timeoutMs": 10000, "sloMs": 400, "dueMs": 7500, "queueTtlS": 60, "priority": 1, "service": service, "maxAttempts": 3,
	}
	for name, value := range more {
		r[name] = value
	}
	return r
}
