package membership

import "time"

// Status is a member's status as seen by one node. Larger values are more severe.
type Status int

// Statuses in order of severity at the same version.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
)

// String implements fmt.Stringer.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unspecified"
	}
}

// Member is one process of pathbend. A restarted node is a new member.
type Member struct {
	ID          string
	Address     string
	HTTPAddress string
	Zone        string
	Status      Status
	// Version orders updates about the member.
	Version uint64
}

// Usable reports whether other nodes may send the member new work.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

// supersedes reports whether an update replaces the current entry of the same member.
func supersedes(update, current Member) bool {
	if update.Version != current.Version {
		return update.Version > current.Version
	}
	return update.Status > current.Status
}

// Heartbeat is a probe or its acknowledgement.
type Heartbeat struct {
	From    string
	Updates []Member
	// Digest is a hash of the sender's table.
	Digest uint64
	// Full is set if Updates is the sender's whole table.
	Full bool
}

// Message is a heartbeat to send.
type Message struct {
	// ToID is empty if a lost message must not count as a miss: the node at the address is
	// not known yet, or the message is not a probe.
	ToID      string
	ToAddress string
	Heartbeat Heartbeat
}

// Change is a change of a member's status.
type Change struct {
	Member   Member
	Previous Status
}

// Settings configures the failure detector.
type Settings struct {
	// Interval is the time between ticks.
	Interval time.Duration
	// Monitors is the number of ring successors that a node monitors.
	Monitors int
	// MissLimit is the number of consecutive unanswered heartbeats after which a member
	// becomes suspect.
	MissLimit int
	// SuspicionTimeout is how long a suspect has to refute before it counts as dead.
	SuspicionTimeout time.Duration
	// GossipFanout is the number of random members that receive a new update per tick.
	GossipFanout int
	// TombstoneTimeout is how long a dead member is kept.
	TombstoneTimeout time.Duration
}

// DefaultSettings returns settings that detect a dead node within 0.5 + 2·0.5 + 1 s (one
// interval, one for each of MissLimit misses, and SuspicionTimeout), plus the time that
// gossip takes.
func DefaultSettings() Settings {
	return Settings{
		Interval:         500 * time.Millisecond,
		Monitors:         3,
		MissLimit:        2,
		SuspicionTimeout: time.Second,
		GossipFanout:     2,
		TombstoneTimeout: 10 * time.Minute,
	}
}
