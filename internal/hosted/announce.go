package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/directory"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/relay"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// unreadPause is the pause of a node that waits for what it has not read yet.
	unreadPause = 20 * time.Millisecond
	// leastRepeat is the least time from a start until an entry that stands there already is
	// repeated: what all nodes read at a start is read by then (295 nodes took 4 s).
	leastRepeat = 10 * time.Second
	// announceAttempt bounds one attempt to announce, announceRetry is the pause
	// after one that failed.
	announceAttempt = 3 * time.Second
	announceRetry   = time.Second
	// emptyPatience is how long a node that announces itself waits for the first entry
	// before it takes part in the group: what cannot be written must not stop the jobs
	// (chosen).
	emptyPatience = time.Second
)

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

// Peers lists the nodes that make calls to the log service for this one: those of its own
// region, as what passes through them may be bound to it.
func (n *Node) Peers() []relay.Peer {
	region := n.settings.Topology.Region(n.settings.Zone)
	return slices.DeleteFunc(n.directory.Peers(), func(peer relay.Peer) bool {
		return n.settings.Topology.Region(peer.Zone) != region
	})
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
	if n.directory.Says(n.settings.Name, n.entry()) {
		wait.For(ctx, leastRepeat+rand.N(directory.AnnounceInterval-leastRepeat))
	}
	for ctx.Err() == nil {
		pause := directory.AnnounceInterval + rand.N(directory.AnnounceSpread)
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

// entry is what this node announces.
func (n *Node) entry() directory.Entry {
	return directory.Entry{
		Millicores: n.settings.Millicores, Zone: n.settings.Zone, Address: n.settings.PeerAddress(), Worker: n.calledAt(),
	}
}

func (n *Node) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceAttempt)
	defer cancel()
	return n.directory.Announce(ctx, n.entry())
}
