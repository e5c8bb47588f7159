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

// set takes in a list that is no older than the present one, and reports
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

// followLoop keeps the machine list up to date.
func (n *Node) followLoop(ctx context.Context) {
	wait.Every(ctx, machinesInterval, func() {
		n.refreshMachines(ctx)
		if revision := n.current.Load(); revision != nil {
			n.applyLimits(revision.Document)
		}
	})
}

func (n *Node) refreshMachines(ctx context.Context) {
	machines, at, err := n.readMachines(ctx)
	if err != nil {
		if !n.machines.failing && ctx.Err() == nil {
			n.logger.Log(event.MachineListFailed, "error", err.Error())
		}
		n.machines.failing = true
		return
	}
	n.machines.failing = false
	if !n.machines.set(machines, at) {
		return
	}
	n.fleet.Update(machines)
	var seeds []string
	for _, machine := range machines {
		if machine.Role == fleet.RoleNode && !machine.Leaving {
			seeds = append(seeds, machine.Address)
		}
	}
	n.members.setSeeds(seeds)
}

func (n *Node) readMachines(ctx context.Context) ([]fleet.Machine, time.Time, error) {
	_, at := n.machines.get()
	if at.IsZero() || n.isZoneReader() {
		machines, err := n.list.List(ctx)
		return machines, time.Now(), err
	}
	for _, member := range n.zoneReaders() {
		machines, readAt, err := n.machinesFromPeer(ctx, member)
		if err == nil {
			return machines, readAt, nil
		}
	}
	machines, err := n.list.List(ctx)
	return machines, time.Now(), err
}

func (n *Node) machinesFromPeer(ctx context.Context, member membership.Member) ([]fleet.Machine, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ListMachines{
		ListMachines: &pathbendv1.ListMachines{Known: n.machines.knownDigest()},
	}})
	if err != nil {
		return nil, time.Time{}, err
	}
	list := reply.GetMachineList()
	readAt := time.Now().Add(-time.Duration(list.GetAgeMs()) * time.Millisecond)
	if list.GetUnchanged() {
		present, _ := n.machines.get()
		return present, readAt, nil
	}
	machines := make([]fleet.Machine, 0, len(list.GetMachines()))
	for _, machine := range list.GetMachines() {
		machines = append(machines, fleet.Machine{
			ID: machine.Id, Role: fleet.Role(machine.Role), Pool: machine.Pool, Address: machine.Address,
			Zone: machine.Zone, Leaving: machine.Leaving,
		})
	}
	return machines, readAt, nil
}
