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

// machinesInterval is how often the machine list is read.
const machinesInterval = time.Second

// machineCache is the last machine list, for this node and its peers.
type machineCache struct {
	mutex    sync.Mutex
	machines []fleet.Machine
	digest   uint64
	readAt   time.Time
	failing  bool
}

// set applies a list that is no older than the present one, and reports
// whether it differs.
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

// confirm records that the present list was still right at a time.
func (c *machineCache) confirm(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.After(c.readAt) {
		c.readAt = at
	}
}

func (c *machineCache) knownDigest() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digest
}

func (c *machineCache) get() ([]fleet.Machine, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machines, c.readAt
}

// machinesLoop keeps the machine list up to date.
func (n *Node) machinesLoop(ctx context.Context) {
	wait.Every(ctx, machinesInterval, func() {
		n.refreshMachines(ctx)
	})
}

func (n *Node) refreshMachines(ctx context.Context) {
	list, err := n.readMachines(ctx)
	if err != nil {
		if !n.machines.failing && ctx.Err() == nil {
			n.logger.Log(event.MachineListFailed, "error", err.Error())
		}
		n.machines.failing = true
		return
	}
	n.machines.failing = false
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

// machineList is a machine list as it was read.
type machineList struct {
	machines []fleet.Machine
	at       time.Time
	// unchanged is set, and machines empty, if the list is the one held.
	unchanged bool
}

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
	machines, unchanged, err := n.list.List(ctx)
	// Unchanged to the platform means the list that this node last took from
	// it, which may not be the one that it holds since a peer gave it another.
	return machineList{machines: machines, at: time.Now(), unchanged: unchanged && n.isHeld(machines)}, err
}

// isHeld reports whether a list is the very one that this node holds.
func (n *Node) isHeld(machines []fleet.Machine) bool {
	held, _ := n.machines.get()
	return len(held) > 0 && len(machines) == len(held) && &machines[0] == &held[0]
}

func (n *Node) machinesFromPeer(ctx context.Context, member membership.Member) (machineList, error) {
	ctx, cancel := context.WithTimeout(ctx, peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ListMachines{
		ListMachines: &pathbendv1.ListMachines{Known: n.machines.knownDigest()},
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
