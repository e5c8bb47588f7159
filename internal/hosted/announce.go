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
	// unreadPause is the poll interval while waiting for data that is not read yet.
	unreadPause = 20 * time.Millisecond
	// leastRepeat is the minimum delay after a start before a node repeats an entry that the
	// directory already holds, so that the initial reads of all nodes are over by then; with
	// 295 nodes these took 4 s.
	leastRepeat = 10 * time.Second
	// announceAttempt is the timeout of one announcement, announceRetry the minimum pause
	// after one that failed; a random part of up to the same length is added.
	announceAttempt = 3 * time.Second
	announceRetry   = time.Second
	// emptyPatience is how long a node that announces itself waits for the first directory
	// entry before it joins the group anyway: a failure to write entries must not stop the
	// jobs.
	emptyPatience = time.Second
)

// awaitAnnouncements waits up to emptyPatience until the directory has an entry. In a new
// deployment the directory is empty, and every node would consider its own machine the
// largest.
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

// Peers returns the nodes that may relay this node's calls to the log service: only those
// of its own region, as the relayed data may be bound to it.
func (n *Node) Peers() []relay.Peer {
	region := n.settings.Topology.Region(n.settings.Zone)
	return slices.DeleteFunc(n.directory.Peers(), func(peer relay.Peer) bool {
		return n.settings.Topology.Region(peer.Zone) != region
	})
}

// announce writes this node's capacity to the directory periodically until ctx ends. If a
// restarted process finds its entry unchanged it does not repeat it at first: when all
// nodes start at once, the writes would only slow down their initial reads.
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

// calledAt returns the address at which other nodes call this one, empty if they do not.
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

// entry returns the directory entry of this node.
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
