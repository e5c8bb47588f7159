package platformsim

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/platform"
)

// Places of disruptions, besides the names of nodes' machines.
const (
	placeStore = ""
	// PlaceSamplers stands for all samplers.
	PlaceSamplers = "samplers"
	// placeOperator stands for changes that the operator makes.
	placeOperator = "operator"
)

// disruption is a fault that affects a place until a time.
type disruption struct {
	place, name string
	until       time.Time
	// planned is set for maintenance that must not cut requests in progress.
	planned bool
}

// RecordDisruption records a disruption of a place. It lasts until a time, or until the returned
// function is called if that is later.
func (c *Checker) RecordDisruption(place, name string, until time.Time, planned bool) (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	recorded := &disruption{place: place, name: name, until: until, planned: planned}
	c.disruptions = append(c.disruptions, recorded)
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		recorded.until = laterTime(recorded.until, time.Now())
	}
}

// recentDisruption returns the newest disruption that may have caused the failure of a call that
// started at a time, nil if there is none. Earlier places take precedence. A disruption counts
// until minUndisturbedTime after its end; a planned one only for calls that were not accepted or
// were refused. The caller holds c.mutex.
func (c *Checker) recentDisruption(startedAt time.Time, class failureClass, places ...string) *disruption {
	for _, place := range places {
		for _, known := range slices.Backward(c.disruptions) {
			applies := known.place == place && (!known.planned || class == failureNotAccepted || class == failureRefused)
			if applies && startedAt.Sub(known.until) < minUndisturbedTime+c.recentWakeDelay(time.Now()) {
				return known
			}
		}
	}
	return nil
}

// failureClass is how a call failed.
type failureClass string

const (
	failureNotAccepted   failureClass = "not accepted"
	failureTimedOut      failureClass = "timed out"
	failureConnectionCut failureClass = "cut"
	// failureRefused is a complete response with an error status.
	failureRefused failureClass = "refused"
)

// refusalReporter is implemented by environments in which a proxy between a caller and its node
// accepts connections that the node does not.
type refusalReporter interface {
	// Refused reports whether the connection from a caller's address reached no listener.
	Refused(address string) bool
}

// failureClassOf classifies the error of a call over a connection from the caller's address.
func (w *World) failureClassOf(err error, localAddress string) failureClass {
	if reporter, ok := w.environment.(refusalReporter); ok && reporter.Refused(localAddress) {
		return failureNotAccepted
	}
	var networkError net.Error
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial" && !operation.Timeout():
		return failureNotAccepted
	case errors.As(err, &networkError) && networkError.Timeout():
		return failureTimedOut
	}
	return failureConnectionCut
}

// checkLostRequest records the cause of a request that got no complete response, and reports a
// violation if there is none. A disruption of the called machine or the store excuses the loss, but
// planned maintenance excuses only a connection that was not accepted. A disruption of samplers
// excuses only a response that was cut. A wake-up delay excuses a timeout if it leaves less than
// answerMargin between the request's deadline and its caller's timeout.
func (c *Checker) checkLostRequest(result callResult, id string, class failureClass) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["requests lost"]++
	wakeDelay := c.recentWakeDelay(time.Now())
	places := []string{result.node, placeStore}
	if class == failureConnectionCut {
		places = append(places, PlaceSamplers)
	}
	cause := c.recentDisruption(result.startedAt, class, places...)
	switch {
	case cause != nil:
		c.causes[fmt.Sprintf("%s during %s", class, cause.name)]++
	case class == failureTimedOut && wakeDelay > callTimeout-requestDeadline-answerMargin:
		c.causes[fmt.Sprintf("%s on a machine that was late", class)]++
	default:
		c.causes[fmt.Sprintf("%s without a disruption", class)]++
		c.recordViolation("LOST", "request %s at %s was %s after %v, without a disruption there or at the store", id, result.node, class, time.Since(result.startedAt))
	}
}

// answerMargin is the part of the time between a request's deadline and its caller's timeout that
// wake-up delays must leave free. A longer wake-up delay also excuses a refused request.
const answerMargin = 100 * time.Millisecond

// checkRefusedRequest records the cause of a refused request, and reports a violation if there is
// no recent disruption and no recent wake-up delay longer than answerMargin.
func (c *Checker) checkRefusedRequest(result callResult, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["requests refused"]++
	refusal := describeRefusal(result)
	cause := c.recentDisruption(result.startedAt, failureRefused, result.node, placeStore, PlaceSamplers, placeOperator)
	switch {
	case cause != nil:
		c.causes[refusal+" during "+cause.name]++
	case c.recentWakeDelay(time.Now()) > answerMargin:
		c.causes[refusal+" on a machine that was late"]++
	default:
		c.causes[refusal+" without a disruption"]++
		c.recordViolation("LOST", "request %s at %s got %s after %v, without a disruption", id, result.node, refusal, time.Since(result.startedAt))
	}
}

// describeRefusal describes a response with an error status: the status of a back end, or the
// code and name of a node's error.
func describeRefusal(result callResult) string {
	if result.header.Get(platform.HeaderServerStamp) != "" {
		return fmt.Sprintf("a sampler's %d", result.status)
	}
	var body struct {
		Code int    `json:"code"`
		Name string `json:"name"`
	}
	if json.Unmarshal(result.body, &body) != nil || body.Code == 0 {
		return fmt.Sprintf("%d without a code", result.status)
	}
	return fmt.Sprintf("%d %s", body.Code, body.Name)
}

// Causes returns how many requests were lost or refused for each cause.
func (c *Checker) Causes() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := make(map[string]int, len(c.causes))
	for cause, count := range c.causes {
		counts[cause] = count
	}
	return counts
}
