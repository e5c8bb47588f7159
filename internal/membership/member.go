package membership

import "time"

// Status is what a node holds of a member. Graver statuses are larger.
type Status int

// Statuses in order of gravity at the same version.
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
	// Version orders statements about the member.
	Version uint64
}

// Usable reports whether other nodes may send the member new work.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

// supersedes reports whether a statement replaces another about one member.
func supersedes(statement, held Member) bool {
	if statement.Version != held.Version {
		return statement.Version > held.Version
	}
	return statement.Status > held.Status
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
	// ToID is empty if an unanswered message says nothing of a member: the
	// node at the address is not known yet, or the message is no probe.
	ToID      string
	ToAddress string
	Heartbeat Heartbeat
}

// Change tells the driver that a member's status changed.
type Change struct {
	Member Member
	Former Status
}

// Settings tunes the failure detector.
type Settings struct {
	// Interval is the time between ticks.
	Interval time.Duration
	// Monitors is how many ring successors a node watches.
	Monitors int
	// MissLimit is how many heartbeats in a row may go unanswered.
	MissLimit int
	// SuspicionTimeout is how long a suspect may take to refute.
	SuspicionTimeout time.Duration
	// GossipFanout is how many random members get a fresh statement at a tick.
	GossipFanout int
	// TombstoneTimeout is how long a dead member is remembered.
	TombstoneTimeout time.Duration
}

// DefaultSettings notices a dead node within 0.5 + 2·0.5 + 1 s plus the spread.
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
