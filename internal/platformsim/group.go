package platformsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// consumerGroup is a consumer group: it assigns the partitions of one topic to its members.
type consumerGroup struct {
	topic      string
	generation uint64
	members    map[string]*groupMember
	partitions [storePartitions]partitionAssignment
}

// groupMember is a member of a group. It is removed if it does not join again within its TTL.
type groupMember struct {
	expiresAt time.Time
	ttl       time.Duration
	// acknowledged is the newest generation that the member has seen.
	acknowledged uint64
}

// partitionAssignment is the member of a partition. A partition moves to nextMember once its
// member has seen moveGeneration, in which the move began, or has left the group.
type partitionAssignment struct {
	member         string
	nextMember     string
	moveGeneration uint64
}

// serveGroup serves requests of members to join or leave a group.
func (s *Store) serveGroup(writer http.ResponseWriter, request *http.Request, body []byte) {
	var document platform.JoinDocument
	if json.Unmarshal(body, &document) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	consumers, known := s.groups[document.Group]
	if !known {
		consumers = &consumerGroup{members: make(map[string]*groupMember)}
		s.groups[document.Group] = consumers
	}
	if request.URL.Path == platform.PathLeave {
		consumers.remove(document.Member)
		consumers.balance()
		return
	}
	consumers.topic = document.Topics[0]
	consumers.join(document, time.Now())
	writeJSON(writer, consumers.assignmentOf(document.Member))
}

// join adds a member or renews its TTL, and completes the moves that it has seen.
func (g *consumerGroup) join(document platform.JoinDocument, now time.Time) {
	g.expire(now)
	member, known := g.members[document.Member]
	if !known {
		member = &groupMember{}
		g.members[document.Member] = member
		g.generation++
	}
	member.ttl = time.Duration(document.TTLMS) * time.Millisecond
	member.expiresAt, member.acknowledged = now.Add(member.ttl), document.Generation
	g.balance()
	g.completeMoves()
}

// expire removes the members whose TTL has passed.
func (g *consumerGroup) expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		if now.After(g.members[name].expiresAt) {
			g.remove(name)
		}
	}
}

// remove removes a member and unassigns its partitions.
func (g *consumerGroup) remove(name string) {
	if _, known := g.members[name]; !known {
		return
	}
	delete(g.members, name)
	g.generation++
	for i := range g.partitions {
		if g.partitions[i].member == name {
			g.partitions[i].member = ""
		}
		if g.partitions[i].nextMember == name {
			g.partitions[i].nextMember = ""
		}
	}
}

// assignedCount returns the number of partitions that a member has, with those that move to it and
// without those that move away.
func (g *consumerGroup) assignedCount(name string) int {
	count := 0
	for i := range g.partitions {
		if g.partitions[i].targetMember() == name {
			count++
		}
	}
	return count
}

// targetMember returns the member after a pending move, empty if there is none.
func (a *partitionAssignment) targetMember() string {
	if a.nextMember != "" {
		return a.nextMember
	}
	return a.member
}

// balance assigns partitions without a member to the members that have the fewest, then starts
// moves until the numbers of partitions differ by at most one.
func (g *consumerGroup) balance() {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	fewest := func() string {
		return slices.MinFunc(names, func(a, b string) int { return g.assignedCount(a) - g.assignedCount(b) })
	}
	for i := range g.partitions {
		if g.partitions[i].targetMember() == "" {
			g.partitions[i].member = fewest()
			g.generation++
		}
	}
	for {
		most := slices.MaxFunc(names, func(a, b string) int { return g.assignedCount(a) - g.assignedCount(b) })
		least := fewest()
		if g.assignedCount(most)-g.assignedCount(least) <= 1 {
			return
		}
		for i := range g.partitions {
			if g.partitions[i].targetMember() == most {
				g.startMove(i, least)
				break
			}
		}
	}
}

// startMove starts the move of a partition in a new generation.
func (g *consumerGroup) startMove(partition int, to string) {
	g.generation++
	g.partitions[partition].nextMember, g.partitions[partition].moveGeneration = to, g.generation
}

// completeMoves moves the partitions whose member has seen the move or has left.
func (g *consumerGroup) completeMoves() {
	for i := range g.partitions {
		partition := &g.partitions[i]
		holder, present := g.members[partition.member]
		if partition.nextMember != "" && (!present || holder.acknowledged >= partition.moveGeneration) {
			partition.member, partition.nextMember = partition.nextMember, ""
		}
	}
}

// reassignAll reassigns all partitions at once, without waiting for their members, which learn of
// it at their next join.
func (g *consumerGroup) reassignAll() {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	g.generation++
	for i := range g.partitions {
		g.partitions[i] = partitionAssignment{member: names[(i+int(g.generation))%len(names)], moveGeneration: g.generation}
	}
}

// serveOwners returns the member of each partition of a group.
func (s *Store) serveOwners(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	document := platform.OwnersDocument{Partitions: [][]json.RawMessage{}}
	if consumers := s.groups[request.URL.Query().Get(platform.QueryGroup)]; consumers != nil {
		consumers.expire(time.Now())
		document.Partitions = consumers.ownerRows()
	}
	writeJSON(writer, document)
}

// ownerRows returns a row for each partition that has a member.
func (g *consumerGroup) ownerRows() [][]json.RawMessage {
	rows := [][]json.RawMessage{}
	for i := range g.partitions {
		if g.partitions[i].member != "" {
			rows = append(rows, encodeRow(g.topic, i, g.partitions[i].member, 0))
		}
	}
	return rows
}

// encodeRow encodes the columns of a row as JSON.
func encodeRow(columns ...any) []json.RawMessage {
	encoded := make([]json.RawMessage, len(columns))
	for i, column := range columns {
		// Encoding strings and integers cannot fail.
		encoded[i], _ = json.Marshal(column)
	}
	return encoded
}

// Rebalance reassigns all partitions of every group at once.
func (s *Store) Rebalance() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, consumers := range s.groups {
		consumers.reassignAll()
	}
}

// assignmentOf returns the partitions of a member, without those that move away.
func (g *consumerGroup) assignmentOf(member string) platform.AssignmentDocument {
	document := platform.AssignmentDocument{Generation: g.generation, Partitions: [][]json.RawMessage{}}
	for i := range g.partitions {
		if g.partitions[i].member == member && g.partitions[i].nextMember == "" {
			document.Partitions = append(document.Partitions, encodeRow(g.topic, i, 0))
		}
	}
	return document
}
