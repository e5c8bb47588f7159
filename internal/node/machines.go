package node

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/wait"
)

// machinesInterval is the interval between reads of the machine list.
const machinesInterval = time.Second

// machineCache holds the last machine list that was read, for this node and its peers.
type machineCache struct {
	mutex    sync.Mutex
	machines []fleet.Machine
	digest   uint64
	readAt   time.Time
	// lastReadFailed is set if the last read failed. Only the machines loop accesses it.
	lastReadFailed bool
}

// set replaces the list unless the given one is older, and reports whether the content
// changed.
func (c *machineCache) set(machines []fleet.Machine, at time.Time) bool {
	digest := fleet.Digest(machines)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.Before(c.readAt) {
		return false
	}
	changed := c.readAt.IsZero() || digest != c.digest
	c.machines, c.digest, c.readAt = machines, digest, at
	return changed
}

// confirm records that the list was still current at a time.
func (c *machineCache) confirm(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.After(c.readAt) {
		c.readAt = at
	}
}

// currentDigest returns the hash of the list; 0 if there is none.
func (c *machineCache) currentDigest() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digest
}

// get returns the list and the time at which it was last read or confirmed; the zero time
// if it was never read.
func (c *machineCache) get() ([]fleet.Machine, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machines, c.readAt
}

// machinesLoop refreshes the machine list at each machinesInterval.
func (n *Node) machinesLoop(ctx context.Context) {
	wait.Every(ctx, machinesInterval, func() {
		n.refreshMachines(ctx)
	})
}

// refreshMachines reads the machine list and applies its changes to the fleet and the seeds
// of the membership. Of consecutive failures only the first is logged.
func (n *Node) refreshMachines(ctx context.Context) {
	list, err := n.readMachines(ctx)
	if err != nil {
		if !n.machines.lastReadFailed && ctx.Err() == nil {
			n.logger.Log(event.MachineListFailed, "error", err.Error())
		}
		n.machines.lastReadFailed = true
		return
	}
	n.machines.lastReadFailed = false
	if list.unchanged {
		n.machines.confirm(list.at)
		return
	}
	if !n.machines.set(list.machines, list.at) {
		return
	}
	n.fleet.Update(list.machines)
	var seeds []string
	for _, machine := range list.machines {
		if machine.Role == fleet.RoleNode && !machine.Leaving {
			seeds = append(seeds, machine.Address)
		}
	}
	n.members.setSeeds(seeds)
}

// machineList is the result of one read of the machine list.
type machineList struct {
	machines []fleet.Machine
	// at is the time at which the list was current.
	at time.Time
	// unchanged is set if the cache holds the same list. machines may be nil then.
	unchanged bool
}

// readMachines reads the machine list from a reader of the zone or, if this node is a
// reader, has no list yet or no reader answers, from the platform.
func (n *Node) readMachines(ctx context.Context) (machineList, error) {
	_, at := n.machines.get()
	if !at.IsZero() && !n.isZoneReader() {
		for _, member := range n.zoneReaders() {
			list, err := n.machinesFromPeer(ctx, member)
			if err == nil {
				return list, nil
			}
		}
	}
	machines, unchanged, err := n.machineClient.List(ctx)
	// The platform compares with the list that this node last read from it. The
	// cache may hold another one that a peer returned since.
	return machineList{machines: machines, at: time.Now(), unchanged: unchanged && n.isCached(machines)}, err
}

// isCached reports whether a list is the same slice as the cached one.
func (n *Node) isCached(machines []fleet.Machine) bool {
	cached, _ := n.machines.get()
	return len(cached) > 0 && len(machines) == len(cached) && &machines[0] == &cached[0]
}

// machinesFromPeer reads the machine list of a peer. The peer omits the list if its digest
// is equal to that of the cached list.
func (n *Node) machinesFromPeer(ctx context.Context, member membership.Member) (machineList, error) {
	ctx, cancel := context.WithTimeout(ctx, peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ListMachines{
		ListMachines: &pathbendv1.ListMachines{Known: n.machines.currentDigest()},
	}})
	if err != nil {
		return machineList{}, err
	}
	list := reply.GetMachineList()
	readAt := time.Now().Add(-time.Duration(list.GetAgeMs()) * time.Millisecond)
	if list.GetUnchanged() {
		return machineList{at: readAt, unchanged: true}, nil
	}
	machines := make([]fleet.Machine, 0, len(list.GetMachines()))
	for _, machine := range list.GetMachines() {
		machines = append(machines, fleet.Machine{
			ID: machine.Id, Role: fleet.Role(machine.Role), Pool: machine.Pool, Address: machine.Address,
			Zone: machine.Zone, Leaving: machine.Leaving,
		})
	}
	return machineList{machines: machines, at: readAt}, nil
}
