package directory

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/carry"
	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/relay"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

const (
	// AnnounceInterval is how often a node repeats what it says of its machine, AnnounceSpread
	// is drawn on top, so that nodes do not announce together.
	AnnounceInterval = 45 * time.Second
	AnnounceSpread   = 10 * time.Second
	// AnnouncedFor is how long an entry counts: two announcements may be missed.
	AnnouncedFor = 3 * (AnnounceInterval + AnnounceSpread)
	// longestPause is the pause between two reads of a directory that stays as it is. A node
	// that is missing for so long only counts less in shares of reads (chosen).
	longestPause = 5 * time.Second
	// emptyPause is that pause while the directory is empty: all nodes of a new deployment
	// announce themselves within a moment (chosen).
	emptyPause = 100 * time.Millisecond
	// growingPause is that pause if the directory grew at the last read; it doubles from there. All nodes of a new deployment announce themselves at once, and
	// their entries take turns in a partition: 985 need 4 s. That is as long as no node can
	// tell who reads for whom (chosen; 985 nodes make 2,500 reads a second of 16,000).
	growingPause = 400 * time.Millisecond
	// settledAfter is how long the directory must not grow to count as whole, and
	// settlePatience how long a node waits for that. A process that finds its machine's entry
	// has started again, among nodes that are all there (chosen: a read and a half).
	settledAfter   = 600 * time.Millisecond
	settlePatience = 6 * time.Second
)

// Entry is what a node announces of its machine.
type Entry struct {
	// Millicores is the processor time a second that it may use.
	Millicores uint64
	Zone       string
	// Address is where it makes calls for others, Worker where it takes their questions and
	// runs to carry; both are empty where it does not.
	Address string
	Worker  string
}

// Directory is what nodes announced of their machines: the newest entry of each, in
// a keyed topic of its own. A node that starts reads it before the ledger, which is
// larger, and knows from it whether the ledger is for it to read at once. It is safe for
// concurrent use.
type Directory struct {
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
	Entry
	// readAt is when this process read of it.
	readAt time.Time
}

// New returns a directory that has read nothing. self is this node's name.
func New(log *sharedlog.Measured, topic, self string, observer sharedlog.Observer, logger *event.Logger) *Directory {
	d := &Directory{logger: logger, nodes: make(map[string]announcedNode), began: time.Now(), self: self}
	d.follower = &sharedlog.KeyedFollower{
		Log: log, Partition: sharedlog.Partition{Topic: topic}, Observer: observer,
		Reset: d.reset, Apply: d.Apply, Pause: d.pause, Beyond: log.Beyond,
	}
	return d
}

// Apply applies records. Entries that a Reset lacks are left to grow old.
func (d *Directory) Apply(records []sharedlog.KeyedRecord, _ uint64) {
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
		entry := announcedNode{readAt: now, Entry: Entry{
			Millicores: announced.Millicores, Zone: announced.Zone, Address: announced.Address, Worker: announced.WorkerAddress,
		}}
		before := d.nodes[record.Key]
		if before.readAt = now; before != entry {
			d.changes++
			d.grownAt, d.resting = now, growingPause
		}
		d.nodes[record.Key] = entry
	}
}

// skip passes over a record that cannot be read.
func (d *Directory) skip(record sharedlog.KeyedRecord, detail string) {
	d.logger.Log(event.RecordSkipped, "topic", d.follower.Partition.Topic, "offset", record.Offset, "detail", detail)
}

// Announced implements ownership.Capacities.
func (d *Directory) Announced() (ownership.Announcements, bool) {
	if d.follower.Health.CurrentAt().IsZero() {
		return ownership.Announcements{}, false
	}
	now := time.Now()
	announced := ownership.Announcements{Of: d.millicores}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, node := range d.nodes {
		if now.Sub(node.readAt) > AnnouncedFor {
			delete(d.nodes, name)
			continue
		}
		announced.Nodes++
		announced.Largest = max(announced.Largest, node.Millicores)
	}
	return announced, true
}

// reset applies the first reading, and those after a truncation.
func (d *Directory) reset(records []sharedlog.KeyedRecord, next uint64) {
	d.Apply(records, next)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.follower.Health.CurrentAt().IsZero() {
		_, d.found = d.nodes[d.self]
	}
}

// pause is the pause between two reads.
func (d *Directory) pause() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.nodes) == 0 {
		return emptyPause
	}
	rests := max(d.resting, growingPause)
	d.resting = min(2*rests, longestPause)
	return rests
}

// Settled reports whether the directory is likely to hold all nodes that there are.
func (d *Directory) Settled() bool {
	if d.follower.Health.CurrentAt().IsZero() {
		return false
	}
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.found || now.Sub(d.began) > settlePatience || !d.grownAt.IsZero() && now.Sub(d.grownAt) > settledAfter
}

// Names returns the names of the nodes that announced themselves of late.
func (d *Directory) Names() []string {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := make([]string, 0, len(d.nodes))
	for name, node := range d.nodes {
		if now.Sub(node.readAt) <= AnnouncedFor {
			names = append(names, name)
		}
	}
	return names
}

// millicores returns what a node announced, 0 if nothing is known of it.
func (d *Directory) millicores(node string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[node].Millicores
}

// Peers lists the nodes that make calls for others.
func (d *Directory) Peers() []relay.Peer {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var peers []relay.Peer
	for name, node := range d.nodes {
		if node.Address != "" && now.Sub(node.readAt) <= AnnouncedFor {
			peers = append(peers, relay.Peer{Name: name, Zone: node.Zone, Address: node.Address})
		}
	}
	return peers
}

// Workers lists the nodes that carry runs for others.
func (d *Directory) Workers() []carry.Node {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var workers []carry.Node
	for name, node := range d.nodes {
		if node.Worker != "" && now.Sub(node.readAt) <= AnnouncedFor {
			workers = append(workers, carry.Node{Name: name, Zone: node.Zone, Address: node.Worker, Millicores: node.Millicores})
		}
	}
	return workers
}

// Says reports whether a node's entry is this one.
func (d *Directory) Says(node string, entry Entry) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[node].Entry == entry
}

// Announce writes an entry of this node.
func (d *Directory) Announce(ctx context.Context, entry Entry) error {
	value, err := proto.Marshal(&pathbendv1.NodeCapacity{
		Node: d.self, Millicores: entry.Millicores, Zone: entry.Zone, Address: entry.Address, WorkerAddress: entry.Worker,
	})
	if err != nil {
		return err
	}
	record := sharedlog.KeyedRecord{Key: d.self, Value: value}
	return d.follower.Log.AppendKeyed(ctx, d.follower.Partition, []sharedlog.KeyedRecord{record})
}

// Run follows the topic until ctx ends.
func (d *Directory) Run(ctx context.Context) { d.follower.Run(ctx) }

// Answering lists the nodes that take questions of others.
func (d *Directory) Answering() []fanout.Node {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var largest uint64
	for _, node := range d.nodes {
		largest = max(largest, node.Millicores)
	}
	view := election.View{Largest: largest}
	var answering []fanout.Node
	for name, node := range d.nodes {
		if node.Worker != "" && now.Sub(node.readAt) <= AnnouncedFor {
			answering = append(answering, fanout.Node{Name: name, Zone: node.Zone, Address: node.Worker, Large: view.Regular(node.Millicores)})
		}
	}
	return answering
}

// Changes counts the changes of the directory.
func (d *Directory) Changes() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changes
}
