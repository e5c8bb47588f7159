package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/carry"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/relay"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// unreadPause is the pause of a node that waits for what it has not read yet.
	unreadPause = 20 * time.Millisecond
	// announceInterval is how often a node repeats what it says of its machine.
	announceInterval = 45 * time.Second
	// announceSpread is drawn on top, so that nodes do not announce together.
	announceSpread = 10 * time.Second
	// leastRepeat is the least time from a start until an entry that stands there already is
	// repeated: what all nodes read at a start is read by then (295 nodes took 4 s).
	leastRepeat = 10 * time.Second
	// announcedFor is how long an entry counts: two announcements may be missed.
	announcedFor = 3 * (announceInterval + announceSpread)
	// announceAttempt bounds one attempt to announce, announceRetry is the pause
	// after one that failed.
	announceAttempt = 3 * time.Second
	announceRetry   = time.Second
	// directoryPause is the pause between two reads of the directory. A node that is
	// missing for so long only counts less in shares of reads (chosen).
	directoryPause = 5 * time.Second
	// growingPause is that pause while the directory is empty, or grew at the last read; it
	// doubles from there. All nodes of a new deployment announce themselves at once, and
	// their entries take turns in a partition: 985 need 4 s. That is as long as no node can
	// tell who reads for whom (chosen; 985 nodes make 4,900 reads a second of 16,000).
	growingPause = 200 * time.Millisecond
	// settledAfter is how long the directory must not grow to count as whole, and
	// settlePatience how long a node waits for that. A process that finds its machine's entry
	// has started again, among nodes that are all there (chosen: 75 turns of the partition).
	settledAfter   = 300 * time.Millisecond
	settlePatience = 6 * time.Second
	// emptyPatience is how long a node that announces itself waits for the first entry
	// before it takes part in the group: what cannot be written must not stop the jobs
	// (chosen).
	emptyPatience = time.Second
)

// directory is what nodes announced of their machines: the newest entry of each, in
// a keyed topic of its own. A node that starts reads it before the ledger, which is
// larger, and knows from it whether the ledger is for it to read at once.
type directory struct {
	follower *sharedlog.KeyedFollower
	logger   *event.Logger

	mutex sync.Mutex
	nodes map[string]announcedNode
	// changes counts entries of new nodes and those that say something else than before.
	changes uint64
	// began is when this process began to read, grownAt when an entry came last, and resting
	// the pause before the next read. found is set if the machine's entry stood there at first.
	began   time.Time
	grownAt time.Time
	resting time.Duration
	found   bool
	// self is this node's name.
	self string
}

// announcedNode is what a node announced last.
type announcedNode struct {
	// millicores is the processor time a second that it may use.
	millicores uint64
	// zone is where it stands, address where it makes calls for others, worker where it
	// takes calls to carry runs.
	worker  string
	zone    string
	address string
	// readAt is when this process read of it.
	readAt time.Time
}

func newDirectory(log *sharedlog.Measured, topic, self string, observer sharedlog.Observer, logger *event.Logger) *directory {
	d := &directory{logger: logger, nodes: make(map[string]announcedNode), began: time.Now(), self: self}
	d.follower = &sharedlog.KeyedFollower{
		Log: log, Partition: sharedlog.Partition{Topic: topic}, Observer: observer,
		Reset: d.reset, Apply: d.apply, Pause: d.pause, Beyond: log.Beyond,
	}
	return d
}

// apply applies records. Entries that a Reset lacks are left to grow old.
func (d *directory) apply(records []sharedlog.KeyedRecord, _ uint64) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, record := range records {
		if record.Malformed != "" {
			d.skip(record, record.Malformed)
			continue
		}
		var announced pathbendv1.NodeCapacity
		if err := proto.Unmarshal(record.Value, &announced); err != nil {
			d.skip(record, err.Error())
			continue
		}
		entry := announcedNode{
			millicores: announced.Millicores, zone: announced.Zone, address: announced.Address, worker: announced.WorkerAddress,
			readAt: now,
		}
		before := d.nodes[record.Key]
		if before.readAt = now; before != entry {
			d.changes++
			d.grownAt, d.resting = now, growingPause
		}
		d.nodes[record.Key] = entry
	}
}

// skip passes over a record that cannot be read.
func (d *directory) skip(record sharedlog.KeyedRecord, detail string) {
	d.logger.Log(event.RecordSkipped, "topic", d.follower.Partition.Topic, "offset", record.Offset, "detail", detail)
}

// Announced implements ownership.Capacities.
func (d *directory) Announced() (ownership.Announcements, bool) {
	if d.follower.Health.CurrentAt().IsZero() {
		return ownership.Announcements{}, false
	}
	now := time.Now()
	announced := ownership.Announcements{Of: d.millicores}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, node := range d.nodes {
		if now.Sub(node.readAt) > announcedFor {
			delete(d.nodes, name)
			continue
		}
		announced.Nodes++
		announced.Largest = max(announced.Largest, node.millicores)
	}
	return announced, true
}

// reset applies the first reading, and those after a truncation.
func (d *directory) reset(records []sharedlog.KeyedRecord, next uint64) {
	d.apply(records, next)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.follower.Health.CurrentAt().IsZero() {
		_, d.found = d.nodes[d.self]
	}
}

// pause is the pause between two reads.
func (d *directory) pause() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.nodes) == 0 {
		return growingPause
	}
	rests := max(d.resting, growingPause)
	d.resting = min(2*rests, directoryPause)
	return rests
}

// settled reports whether the directory is likely to hold all nodes that there are.
func (d *directory) settled() bool {
	if d.follower.Health.CurrentAt().IsZero() {
		return false
	}
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.found || now.Sub(d.began) > settlePatience || !d.grownAt.IsZero() && now.Sub(d.grownAt) > settledAfter
}

// awaitAnnouncements waits until any node's machine is known. The nodes of a new deployment
// read an empty directory, and by that each of them would be as large as any.
func (n *Node) awaitAnnouncements(ctx context.Context) {
	if n.settings.Millicores == 0 && n.settings.PeerAddress() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, emptyPatience)
	defer cancel()
	for {
		announced, _ := n.directory.Announced()
		if announced.Nodes > 0 || !wait.For(ctx, unreadPause) {
			return
		}
	}
}

// names returns the names of the nodes that announced themselves of late.
func (d *directory) names() []string {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := make([]string, 0, len(d.nodes))
	for name, node := range d.nodes {
		if now.Sub(node.readAt) <= announcedFor {
			names = append(names, name)
		}
	}
	return names
}

// millicores returns what a node announced, 0 if nothing is known of it.
func (d *directory) millicores(node string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[node].millicores
}

// peers lists the nodes that make calls for others.
func (d *directory) peers(now time.Time) []relay.Peer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var peers []relay.Peer
	for name, node := range d.nodes {
		if node.address != "" && now.Sub(node.readAt) <= announcedFor {
			peers = append(peers, relay.Peer{Name: name, Zone: node.zone, Address: node.address})
		}
	}
	return peers
}

// Peers lists the nodes that make calls to the log service for this one: those of its own
// region, as what passes through them may be bound to it.
func (n *Node) Peers() []relay.Peer {
	region := n.settings.Topology.Region(n.settings.Zone)
	return slices.DeleteFunc(n.directory.peers(time.Now()), func(peer relay.Peer) bool {
		return n.settings.Topology.Region(peer.Zone) != region
	})
}

// workers lists the nodes that carry runs for others.
func (d *directory) workers() []carry.Node {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var workers []carry.Node
	for name, node := range d.nodes {
		if node.worker != "" && now.Sub(node.readAt) <= announcedFor {
			workers = append(workers, carry.Node{Name: name, Zone: node.zone, Address: node.worker, Millicores: node.millicores})
		}
	}
	return workers
}

// current reports whether a node's entry says what it would announce.
func (d *directory) current(settings *Settings, worker string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entry := d.nodes[settings.Name]
	return entry.millicores == settings.Millicores && entry.address == settings.PeerAddress() &&
		entry.zone == settings.Zone && entry.worker == worker
}

// announce tells the other nodes this node's capacity, again and again. A process
// that starts again on its machine leaves the entry that it finds: when all start at
// once, their entries would only be in the way of their reads.
func (n *Node) announce(ctx context.Context) {
	if n.settings.Millicores == 0 && n.settings.PeerAddress() == "" {
		return
	}
	for !n.directoryRead() && wait.For(ctx, unreadPause) {
	}
	for n.settings.takesCalls() && n.peerAddress.Load() == nil && wait.For(ctx, unreadPause) {
	}
	if n.directory.current(&n.settings, n.calledAt()) {
		wait.For(ctx, leastRepeat+rand.N(announceInterval-leastRepeat))
	}
	for ctx.Err() == nil {
		pause := announceInterval + rand.N(announceSpread)
		if err := n.announceOnce(ctx); err != nil {
			n.logger.Log(event.LogAppendRetried, "topic", n.settings.NodesTopic, "detail", err.Error())
			pause = announceRetry + rand.N(announceRetry)
		}
		wait.For(ctx, pause)
	}
}

// calledAt is where other nodes call this one, empty if they do not.
func (n *Node) calledAt() string {
	if address := n.peerAddress.Load(); address != nil {
		return *address
	}
	return ""
}

func (n *Node) directoryRead() bool {
	_, read := n.directory.Announced()
	return read
}

func (n *Node) announceOnce(ctx context.Context) error {
	value, err := proto.Marshal(&pathbendv1.NodeCapacity{
		Node: n.settings.Name, Millicores: n.settings.Millicores, Zone: n.settings.Zone, Address: n.settings.PeerAddress(),
		WorkerAddress: n.calledAt(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceAttempt)
	defer cancel()
	record := sharedlog.KeyedRecord{Key: n.settings.Name, Value: value}
	return n.log.AppendKeyed(ctx, n.directory.follower.Partition, []sharedlog.KeyedRecord{record})
}
