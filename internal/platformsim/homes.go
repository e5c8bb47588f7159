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
func (t *Checker) BindRegion(id, region string) {
	if region == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.boundRegions[id] = region
}

// checkRegion checks that a bound request reached a sampler of its region.
func (t *Checker) checkRegion(id, sampler, zone string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if region := t.boundRegions[id]; region != "" {
		t.counts["bound arrivals"]++
		if t.regions[zone] != region {
			t.recordViolation("HOME", "request %s, bound to %s, reached sampler %s in zone %s", id, region, sampler, zone)
		}
	}
}

// itemBodyPrefix precedes the item's id in the body of an item.
const itemBodyPrefix = "prompt of "

var itemBodyPattern = regexp.MustCompile(itemBodyPrefix + "(i[0-9a-f]+)")

// machineResolver is implemented by surroundings in which the address of a call to the store is
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
		w.Checker.checkDeliveredRecords(address, records)
	}
}

// checkDeliveredRecords checks that records returned to a node contain no body of an item that is
// bound to another region. No client of this world reads bodies from the store, so every body is
// read by a node for itself.
func (t *Checker) checkDeliveredRecords(node string, records []byte) {
	if t.regions == nil {
		return
	}
	zone := ZoneOf(node)
	for _, match := range itemBodyPattern.FindAllSubmatch(records, -1) {
		id := string(match[1])
		t.mutex.Lock()
		if region := t.boundRegions[id]; region != "" {
			t.counts["bound bodies"]++
			if t.regions[zone] != region {
				t.recordViolation("HOME", "the body of item %s, bound to %s, went to %s", id, region, node)
			}
		}
		t.mutex.Unlock()
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
