package nodedirectory

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/relay"
	"github.com/pathbend/pathbend/internal/remoterun"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

const (
	// AnnounceInterval is the interval at which a node repeats its announcement.
	// AnnounceJitter is the maximum random jitter that is added to it, so that nodes do not
	// announce themselves simultaneously.
	AnnounceInterval = 45 * time.Second
	AnnounceJitter   = 10 * time.Second
	// entryTTL is how long an entry is valid. Two announcements in a row may be missed.
	entryTTL = 3 * (AnnounceInterval + AnnounceJitter)
	// maxReadPause is the maximum pause between two reads, which applies while the directory
	// does not change. Missing a node for that long only makes the division of reads among
	// the nodes less even.
	maxReadPause = 5 * time.Second
	// emptyReadPause is the pause between two reads while the directory is empty, because all
	// nodes of a new deployment announce themselves within a short time.
	emptyReadPause = 100 * time.Millisecond
	// baseReadPause is the pause after a read that found changes. It doubles with each further
	// read. All nodes of a new deployment announce themselves at once, and the partition
	// processes their appends one at a time: 985 entries take 4 s, during which no node can
	// tell which nodes read for which others. With this pause 985 nodes make 2,500 of the
	// 16,000 reads a second that the log supports.
	baseReadPause = 400 * time.Millisecond
	// settlePeriod is how long the directory must not change to count as complete, one and a
	// half times baseReadPause. After settleTimeout it counts as complete in any case. If the
	// node's own entry is found at first, its process was restarted, and the entries of the
	// other nodes are present already.
	settlePeriod  = 600 * time.Millisecond
	settleTimeout = 6 * time.Second
)

// Entry is the announcement of a node.
type Entry struct {
	// Millicores is the processor time that the node may use, in thousandths of a core.
	Millicores uint64
	Zone       string
	// RelayAddress is where the node relays calls to the log for other nodes, empty if it does
	// not.
	RelayAddress string
	// WorkerAddress is where the node answers requests and executes runs for other nodes, empty
	// if it does not.
	WorkerAddress string
	// ReadsFurtherSubjects is set if the node reads all subjects of a claim, not only the first.
	ReadsFurtherSubjects bool
}

// Directory holds the newest announcement of each node, from a keyed topic of its own. A
// starting node reads it before the ledger, which is larger, and derives from it whether it
// needs to read the ledger immediately. It is safe for concurrent use.
type Directory struct {
	follower *sharedlog.KeyedFollower
	logger   *event.Logger

	mutex sync.Mutex
	nodes map[string]announcedNode
	// changes is the number of entries that were new or differed from the previous one.
	changes uint64
	// createdAt is when the directory was created.
	createdAt time.Time
	// changedAt is when the last change was read.
	changedAt time.Time
	// readPause is the pause after the next read.
	readPause time.Duration
	// selfFound is set if the initial read found an entry of this node.
	selfFound bool
	// self is this node's name.
	self string
}

// announcedNode is the last announcement of a node.
type announcedNode struct {
	Entry
	// readAt is when this process read the announcement.
	readAt time.Time
}

// New returns a directory that has read nothing. self is this node's name. observer is
// notified when reads fail and recover. maxRetryPause is that of sharedlog.KeyedFollower.
func New(log *sharedlog.MeteredLog, topic, self string, observer sharedlog.Observer, maxRetryPause func() time.Duration, logger *event.Logger) *Directory {
	d := &Directory{logger: logger, nodes: make(map[string]announcedNode), createdAt: time.Now(), self: self}
	d.follower = &sharedlog.KeyedFollower{
		Log: log, Partition: sharedlog.Partition{Topic: topic}, Observer: observer,
		Reset: d.reset, Apply: d.Apply, Pause: d.pause, ExtraLatency: log.ExtraLatency,
		MaxRetryPause: maxRetryPause,
	}
	return d
}

// Apply applies records of the topic. Entries that are missing from a reset are not removed
// but expire.
func (d *Directory) Apply(records []sharedlog.KeyedRecord, _ uint64) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, record := range records {
		if record.Malformed != "" {
			d.logSkipped(record, record.Malformed)
			continue
		}
		var announced pathbendv1.NodeCapacity
		if err := proto.Unmarshal(record.Value, &announced); err != nil {
			d.logSkipped(record, err.Error())
			continue
		}
		entry := announcedNode{readAt: now, Entry: Entry{
			Millicores: announced.Millicores, Zone: announced.Zone, RelayAddress: announced.Address, WorkerAddress: announced.WorkerAddress,
			ReadsFurtherSubjects: announced.ReadsFurtherSubjects,
		}}
		previous := d.nodes[record.Key]
		if previous.readAt = now; previous != entry {
			d.changes++
			d.changedAt, d.readPause = now, baseReadPause
		}
		d.nodes[record.Key] = entry
	}
}

// logSkipped logs a record that cannot be decoded.
func (d *Directory) logSkipped(record sharedlog.KeyedRecord, detail string) {
	d.logger.Log(event.RecordSkipped, "topic", d.follower.Partition.Topic, "offset", record.Offset, "detail", detail)
}

// Announced implements ownership.Capacities. It also removes expired entries.
func (d *Directory) Announced() (ownership.NodeCapacities, bool) {
	if d.follower.Health.CurrentAt().IsZero() {
		return ownership.NodeCapacities{}, false
	}
	now := time.Now()
	announced := ownership.NodeCapacities{CapacityOf: d.millicores}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, node := range d.nodes {
		if now.Sub(node.readAt) > entryTTL {
			delete(d.nodes, name)
			continue
		}
		announced.NodeCount++
		announced.Largest = max(announced.Largest, node.Millicores)
	}
	return announced, true
}

// reset applies the records of the initial read, and of those after a truncation.
func (d *Directory) reset(records []sharedlog.KeyedRecord, next uint64) {
	d.Apply(records, next)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.follower.Health.CurrentAt().IsZero() {
		_, d.selfFound = d.nodes[d.self]
	}
}

// pause returns the pause after a read. It doubles with each call until the directory
// changes.
func (d *Directory) pause() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.nodes) == 0 {
		return emptyReadPause
	}
	current := max(d.readPause, baseReadPause)
	d.readPause = min(2*current, maxReadPause)
	return current
}

// LikelyComplete reports whether the directory is likely to contain all nodes.
func (d *Directory) LikelyComplete() bool {
	if d.follower.Health.CurrentAt().IsZero() {
		return false
	}
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.selfFound || now.Sub(d.createdAt) > settleTimeout || !d.changedAt.IsZero() && now.Sub(d.changedAt) > settlePeriod
}

// Names returns the names of the nodes whose entries have not expired.
func (d *Directory) Names() []string {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := make([]string, 0, len(d.nodes))
	for name, node := range d.nodes {
		if now.Sub(node.readAt) <= entryTTL {
			names = append(names, name)
		}
	}
	return names
}

// millicores returns the announced capacity of a node, 0 if the node is unknown.
func (d *Directory) millicores(node string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[node].Millicores
}

// Relays returns the nodes that relay calls to the log for other nodes.
func (d *Directory) Relays() []relay.Peer {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var peers []relay.Peer
	for name, node := range d.nodes {
		if node.RelayAddress != "" && now.Sub(node.readAt) <= entryTTL {
			peers = append(peers, relay.Peer{Name: name, Zone: node.Zone, Address: node.RelayAddress})
		}
	}
	return peers
}

// Workers returns the nodes that execute runs for other nodes.
func (d *Directory) Workers() []remoterun.Node {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var workers []remoterun.Node
	for name, node := range d.nodes {
		if node.WorkerAddress != "" && now.Sub(node.readAt) <= entryTTL {
			workers = append(workers, remoterun.Node{Name: name, Zone: node.Zone, Address: node.WorkerAddress, Millicores: node.Millicores})
		}
	}
	return workers
}

// AllReadFurtherSubjects reports whether all nodes, including this one, announced that they
// read all subjects of a claim. It is false until this node's own entry has been read: a
// deployment without announcements tells nothing of its nodes.
func (d *Directory) AllReadFurtherSubjects() bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, node := range d.nodes {
		if !node.ReadsFurtherSubjects && now.Sub(node.readAt) <= entryTTL {
			return false
		}
	}
	self, known := d.nodes[d.self]
	return known && now.Sub(self.readAt) <= entryTTL
}

// HasEntry reports whether the entry of a node equals the given one. It ignores
// ReadsFurtherSubjects: after an upgrade of all nodes at once, the entries that differ only in it
// need not be replaced before they are due.
func (d *Directory) HasEntry(node string, entry Entry) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.nodes[node].Entry
	known.ReadsFurtherSubjects = entry.ReadsFurtherSubjects
	return known == entry
}

// Announce appends an entry for this node to the topic.
func (d *Directory) Announce(ctx context.Context, entry Entry) error {
	value, err := proto.Marshal(&pathbendv1.NodeCapacity{
		Node: d.self, Millicores: entry.Millicores, Zone: entry.Zone, Address: entry.RelayAddress, WorkerAddress: entry.WorkerAddress,
		ReadsFurtherSubjects: entry.ReadsFurtherSubjects,
	})
	if err != nil {
		return err
	}
	record := sharedlog.KeyedRecord{Key: d.self, Value: value}
	return d.follower.Log.AppendKeyed(ctx, d.follower.Partition, []sharedlog.KeyedRecord{record})
}

// Run follows the topic until ctx ends.
func (d *Directory) Run(ctx context.Context) { d.follower.Run(ctx) }

// Responders returns the nodes that answer requests of other nodes.
func (d *Directory) Responders() []fanout.Node {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var largest uint64
	for _, node := range d.nodes {
		largest = max(largest, node.Millicores)
	}
	view := election.View{Largest: largest}
	var responders []fanout.Node
	for name, node := range d.nodes {
		if node.WorkerAddress != "" && now.Sub(node.readAt) <= entryTTL {
			responders = append(responders, fanout.Node{Name: name, Zone: node.Zone, Address: node.WorkerAddress, Large: view.IsLarge(node.Millicores)})
		}
	}
	return responders
}

// ChangeCount returns the number of changes to the directory so far. It increases when a node
// is added or an entry differs from the previous one.
func (d *Directory) ChangeCount() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changes
}
