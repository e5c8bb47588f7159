package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/control"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/state"
)

const (
	// readersPerZone is how many nodes of a zone read the platform's log and
	// machine list themselves.
	readersPerZone = 2
	// machinesInterval is how often the machine list is read.
	machinesInterval = time.Second
	// rosterInterval is how often the roster is compared with the membership.
	rosterInterval = time.Second
	// rosterGrace is how long a member must be dead before it is removed.
	rosterGrace = 10 * time.Second
	// appendPatience bounds the repeats of one append.
	appendPatience = 20 * time.Second
	peerReadMargin = 2 * time.Second
)

// rendezvousScore ranks a member for a purpose.
func rendezvousScore(purpose, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(purpose) // never fails
	digest.WriteString("\n")
	digest.WriteString(id)
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], digest.Sum64())
	return xxhash.Sum64(buffer[:])
}

// rank orders members for a purpose, the first choice first.
func rank(purpose string, members []membership.Member) []membership.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(purpose, b.ID), rendezvousScore(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// zoneReaders are the nodes of this zone that read from the platform.
func (n *Node) zoneReaders() []membership.Member {
	var local []membership.Member
	for _, member := range n.members.usable() {
		if member.Zone == n.settings.Zone {
			local = append(local, member)
		}
	}
	ranked := rank("log-reader", local)
	return ranked[:min(len(ranked), readersPerZone)]
}

func (n *Node) isZoneReader() bool {
	return slices.ContainsFunc(n.zoneReaders(), func(member membership.Member) bool { return member.ID == n.id })
}

// Fetch implements control.Source. Designated readers read the log, others
// read through them; each falls back on the other way.
func (n *Node) Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (control.Update, error) {
	log := control.LogSource{Reader: n.log}
	if from == 0 || n.isZoneReader() {
		update, err := log.Fetch(ctx, from, limit, wait)
		if err == nil {
			return update, nil
		}
		return n.fetchFromPeers(ctx, n.members.usable(), from, limit, wait, err)
	}
	update, err := n.fetchFromPeers(ctx, n.zoneReaders(), from, limit, wait, nil)
	if err == nil {
		return update, nil
	}
	return log.Fetch(ctx, from, limit, wait)
}

// maxPeersAsked bounds the peers tried in one fetch.
const maxPeersAsked = 3

func (n *Node) fetchFromPeers(ctx context.Context, candidates []membership.Member, from uint64, limit int, wait time.Duration, cause error) (control.Update, error) {
	lastErr := cause
	asked := 0
	for _, member := range rank(n.id, candidates) {
		if member.ID == n.id || asked == maxPeersAsked {
			continue
		}
		asked++
		update, err := n.fetchFromPeer(ctx, member, from, limit, wait)
		if err == nil {
			return update, nil
		}
		lastErr = err
	}
	if lastErr == nil {
		lastErr = result.New(result.PeerUnreached, "no peer to read from")
	}
	return control.Update{}, lastErr
}

func (n *Node) fetchFromPeer(ctx context.Context, member membership.Member, from uint64, limit int, wait time.Duration) (control.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadRecords{
		ReadRecords: &pathbendv1.ReadRecords{
			Stream: logstore.ControlStream, From: from, Max: uint32(limit), WaitMs: wait.Milliseconds(),
		},
	}})
	if err != nil {
		return control.Update{}, err
	}
	return control.DecodeUpdate(reply.GetRecordBatch())
}

// onStateChange puts changes of the shared state in force. It runs with the
// follower's lock held.
func (n *Node) onStateChange(part state.Part, machine *state.Machine) {
	switch part {
	case state.PartConfig:
		revision := machine.Revision()
		if revision.Document == nil {
			return
		}
		n.current.Store(&revision)
		n.applyLimits(revision.Document)
	case state.PartRoster:
		n.replicas.follow(machine.Shards())
	}
}

// applyLimits divides each tenant's rate among the live nodes.
func (n *Node) applyLimits(document *config.Document) {
	share := 1 / float64(max(n.members.usableCount(), 1))
	limits := make(map[string]admission.Limits, len(document.Tenants))
	for _, tenant := range document.Tenants {
		capacity := tenant.Spec.Capacity
		limits[tenant.Name] = admission.Limits{
			RequestsPerSecond: capacity.RequestsPerSecond * share,
			Burst:             max(int(float64(capacity.Burst)*share), 1),
			Concurrent:        capacity.ConcurrentRequests,
			QueueLength:       capacity.QueueLength,
		}
	}
	n.gate.SetLimits(time.Now(), limits)
}

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
	every(ctx, machinesInterval, func() {
		n.refreshMachines(ctx)
		if revision := n.current.Load(); revision != nil {
			n.applyLimits(revision.Document)
		}
	})
}

// every runs a step at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
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

// rosterLoop joins the roster, removes dead members from it and appends
// snapshots, as far as this node is the one to do it.
func (n *Node) rosterLoop(ctx context.Context) {
	missing := make(map[string]time.Time)
	every(ctx, rosterInterval, func() {
		if !n.follower.CaughtUp() || n.draining.Load() {
			return
		}
		roster := n.roster()
		if _, joined := roster[n.id]; !joined {
			n.append(ctx, &pathbendv1.Record{Body: &pathbendv1.Record_NodeJoined{NodeJoined: &pathbendv1.NodeJoined{
				NodeId: n.id, Address: n.settings.PeerAddress, Zone: n.settings.Zone,
			}}})
			return
		}
		n.removeDead(ctx, roster, missing)
		if n.isFirst("snapshot") && n.follower.SnapshotDue() {
			n.appendSnapshot(ctx)
		}
	})
}

func (n *Node) roster() map[string]state.RosterMember {
	roster := make(map[string]state.RosterMember)
	n.follower.View(func(machine *state.Machine) {
		members, _ := machine.Roster()
		for _, member := range members {
			roster[member.ID] = member
		}
	})
	return roster
}

// isFirst reports whether this node is the first choice for a purpose.
func (n *Node) isFirst(purpose string) bool {
	ranked := rank(purpose, n.members.usable())
	return len(ranked) > 0 && ranked[0].ID == n.id
}

// removeDead appends the leave of members that have been dead for long. missing
// remembers since when each is.
func (n *Node) removeDead(ctx context.Context, roster map[string]state.RosterMember, missing map[string]time.Time) {
	now := time.Now()
	for id := range roster {
		if member, ok := n.members.get(id); ok && member.Status != membership.Dead {
			delete(missing, id)
			continue
		}
		if _, ok := missing[id]; !ok {
			missing[id] = now
		}
	}
	for _, id := range sortedKeys(missing) {
		if _, listed := roster[id]; !listed {
			delete(missing, id)
			continue
		}
		if now.Sub(missing[id]) >= rosterGrace && n.isFirst("roster") {
			n.append(ctx, leftRecord(id))
		}
	}
}

func leftRecord(id string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_NodeLeft{NodeLeft: &pathbendv1.NodeLeft{NodeId: id}}}
}

// append appends a record under a fresh id and waits a while for its effect to
// be seen.
func (n *Node) append(ctx context.Context, record *pathbendv1.Record) {
	record.Id = n.NewID()
	ctx, cancel := context.WithTimeout(ctx, appendPatience)
	defer cancel()
	offset, err := logstore.AppendRecord(ctx, n.log, record)
	if err != nil {
		if n.ctx.Err() == nil {
			n.logger.Log(event.LogAppendFailed, "error", err.Error())
		}
		return
	}
	n.awaitOffset(ctx, offset)
}

// awaitOffset waits until the follower has applied an offset.
func (n *Node) awaitOffset(ctx context.Context, offset uint64) {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var next uint64
		n.follower.View(func(machine *state.Machine) { next = machine.Next() })
		if next > offset {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) appendSnapshot(ctx context.Context) {
	n.append(ctx, n.follower.EncodeSnapshot(n.NewID()))
	n.logger.Log(event.SnapshotAppended)
}

const leaveTimeout = 2 * time.Second

// leaveRoster takes the node off the roster and waits until the new members of
// its shards have fetched its entries, for as long as that is worth.
func (n *Node) leaveRoster() {
	if _, listed := n.roster()[n.id]; !listed {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	n.append(ctx, leftRecord(n.id))
	n.replicas.awaitExported(ctx)
}
