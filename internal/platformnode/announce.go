package platformnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/nodedirectory"
	"github.com/pathbend/pathbend/internal/relay"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// readPollInterval is the poll interval while waiting for data that is not read yet.
	readPollInterval = 20 * time.Millisecond
	// minReannounceDelay is the minimum delay after a start before a node repeats an entry
	// that the directory already holds, so that the initial reads of all nodes are over by
	// then; with 295 nodes these took 4 s.
	minReannounceDelay = 10 * time.Second
	// announceTimeout is the timeout of one announcement, announceRetryPause the minimum pause
	// after one that failed; a random part of up to the same length is added.
	announceTimeout    = 3 * time.Second
	announceRetryPause = time.Second
	// firstEntryTimeout is how long a node that announces itself waits for the first directory
	// entry before it joins the group anyway: a failure to write entries must not stop the
	// jobs.
	firstEntryTimeout = time.Second
)

// awaitAnnouncements waits up to firstEntryTimeout until the directory has an entry. In a new
// deployment the directory is empty, and every node would consider its own machine the
// largest.
func (n *Node) awaitAnnouncements(ctx context.Context) {
	if n.settings.Millicores == 0 && n.settings.PeerAddress() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstEntryTimeout)
	defer cancel()
	for {
		announced, _ := n.directory.Announced()
		if announced.NodeCount > 0 || !wait.For(ctx, readPollInterval) {
			return
		}
	}
}

// Peers returns the nodes that may relay this node's calls to the log service: only those
// of its own region, as the relayed data may be bound to it.
func (n *Node) Peers() []relay.Peer {
	region := n.settings.Topology.Region(n.settings.Zone)
	return slices.DeleteFunc(n.directory.Relays(), func(peer relay.Peer) bool {
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
	for !n.directoryRead() && wait.For(ctx, readPollInterval) {
	}
	for n.settings.acceptsPeerCalls() && n.peerAddress.Load() == nil && wait.For(ctx, readPollInterval) {
	}
	if n.directory.HasEntry(n.settings.Name, n.directoryEntry()) {
		wait.For(ctx, minReannounceDelay+rand.N(nodedirectory.AnnounceInterval-minReannounceDelay))
	}
	for ctx.Err() == nil {
		pause := nodedirectory.AnnounceInterval + rand.N(nodedirectory.AnnounceJitter)
		if err := n.announceOnce(ctx); err != nil {
			n.logger.Log(event.LogAppendRetried, "topic", n.settings.NodesTopic, "detail", err.Error())
			pause = announceRetryPause + rand.N(announceRetryPause)
		}
		wait.For(ctx, pause)
	}
}

// callAddress returns the address at which other nodes call this one, empty if they do not.
func (n *Node) callAddress() string {
	if address := n.peerAddress.Load(); address != nil {
		return *address
	}
	return ""
}

func (n *Node) directoryRead() bool {
	_, read := n.directory.Announced()
	return read
}

// directoryEntry returns the directory entry of this node.
func (n *Node) directoryEntry() nodedirectory.Entry {
	return nodedirectory.Entry{
		Millicores: n.settings.Millicores, Zone: n.settings.Zone, RelayAddress: n.settings.PeerAddress(), WorkerAddress: n.callAddress(),
		ReadsFurtherSubjects: true,
	}
}

func (n *Node) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return n.directory.Announce(ctx, n.directoryEntry())
}
