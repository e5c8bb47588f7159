package platformsim

import (
	"regexp"
	"strings"
)

// boundRegion returns the region to which the caller's requests with a path prefix are bound,
// empty if they are not bound.
func (c *caller) boundRegion(prefix string) string {
	switch {
	case c.world.options.Regions == nil:
		return ""
	case c.tenant == c.world.tenants.names[0]:
		return tenantRegion
	case prefix == regionBoundPrefix:
		return routeRegion
	}
	return ""
}

// BindRegion records the region to which a request or an item is bound. An empty region does not
// bind it.
func (c *Checker) BindRegion(id, region string) {
	if region == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.boundRegions[id] = region
}

// checkRegion checks that a bound request reached a sampler of its region.
func (c *Checker) checkRegion(id, sampler, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if region := c.boundRegions[id]; region != "" {
		c.counts["bound arrivals"]++
		if c.regions[zone] != region {
			c.recordViolation("HOME", "request %s, bound to %s, reached sampler %s in zone %s", id, region, sampler, zone)
		}
	}
}

// itemBodyPrefix precedes the item's id in the body of an item.
const itemBodyPrefix = "prompt of "

var itemBodyPattern = regexp.MustCompile(itemBodyPrefix + "(i[0-9a-f]+)")

// machineResolver is implemented by environments in which the address of a call to the store is
// not that of the machine that makes it.
type machineResolver interface {
	// MachineAt returns the machine whose calls to the store come from an address, empty if
	// there is none.
	MachineAt(address string) string
}

// checkReturnedRecords checks records that the store returns to the machine at an address.
func (w *World) checkReturnedRecords(address string, records []byte) {
	if resolver, ok := w.environment.(machineResolver); ok {
		address = resolver.MachineAt(address)
	}
	if address != "" {
		w.Checker.checkReturnedRecords(address, records)
	}
}

// checkReturnedRecords checks that records returned to a node contain no body of an item that is
// bound to another region. No client of this world reads bodies from the store, so every body is
// read by a node for itself.
func (c *Checker) checkReturnedRecords(node string, records []byte) {
	if c.regions == nil {
		return
	}
	zone := ZoneOf(node)
	for _, match := range itemBodyPattern.FindAllSubmatch(records, -1) {
		id := string(match[1])
		c.mutex.Lock()
		if region := c.boundRegions[id]; region != "" {
			c.counts["bound bodies"]++
			if c.regions[zone] != region {
				c.recordViolation("HOME", "the body of item %s, bound to %s, went to %s", id, region, node)
			}
		}
		c.mutex.Unlock()
	}
}

// ZoneOf returns the zone in the name of a node, empty if the name contains none.
func ZoneOf(node string) string {
	parts := strings.Split(node, "-")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
