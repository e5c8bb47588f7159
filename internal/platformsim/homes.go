package platformsim

import (
	"regexp"
	"strings"
)

// home returns the region to which the caller's requests under a prefix are bound, empty
// for none.
func (c *caller) home(prefix string) string {
	switch {
	case c.world.options.Regions == nil:
		return ""
	case c.tenant == c.world.tenants.names[0]:
		return tenantRegion
	case prefix == boundPrefix:
		return routeRegion
	}
	return ""
}

// Bind notes the region to which a request or an item is bound.
func (t *Truth) Bind(id, region string) {
	if region == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.homes[id] = region
}

// judgeHome rules on the region of the sampler that a request reached.
func (t *Truth) judgeHome(id, sampler, zone string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if home := t.homes[id]; home != "" {
		t.counts["bound arrivals"]++
		if t.regions[zone] != home {
			t.broken("HOME", "request %s, bound to %s, reached sampler %s in zone %s", id, home, sampler, zone)
		}
	}
}

// bodyOf is what the body of an item holds.
const bodyOf = "prompt of "

var bodies = regexp.MustCompile(bodyOf + "(i[0-9a-f]+)")

// sources knows whose calls come from an address, where machines share one.
type sources interface {
	// MachineAt returns the machine whose calls to the store come from an address, empty
	// for none.
	MachineAt(address string) string
}

// handed judges records that the store hands to the machine at an address.
func (w *World) handed(address string, records []byte) {
	if known, ok := w.network.(sources); ok {
		address = known.MachineAt(address)
	}
	if address != "" {
		w.Truth.judgeHanded(address, records)
	}
}

// judgeHanded rules on records that the store hands to a node. No client of this world
// asks for bodies.
func (t *Truth) judgeHanded(node string, records []byte) {
	if t.regions == nil {
		return
	}
	zone := ZoneOf(node)
	for _, found := range bodies.FindAllSubmatch(records, -1) {
		id := string(found[1])
		t.mutex.Lock()
		if home := t.homes[id]; home != "" {
			t.counts["bound bodies"]++
			if t.regions[zone] != home {
				t.broken("HOME", "the body of item %s, bound to %s, went to %s", id, home, node)
			}
		}
		t.mutex.Unlock()
	}
}

// ZoneOf is the zone in the name of a node.
func ZoneOf(node string) string {
	parts := strings.Split(node, "-")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
