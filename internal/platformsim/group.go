package platformsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// group deals the partitions of one topic out to its members.
type group struct {
	topic      string
	generation uint64
	members    map[string]*groupMember
	parts      [storeParts]dealt
}

type groupMember struct {
	expires time.Time
	ttl     time.Duration
	heard   uint64
}

// dealt is a partition with its member. A partition that is to move passes on
// once its member has heard of it or is gone.
type dealt struct {
	member string
	next   string
	since  uint64
}

// serveGroup serves joins and leaves.
func (s *Store) serveGroup(writer http.ResponseWriter, request *http.Request, body []byte) {
	var document platform.JoinDocument
	if json.Unmarshal(body, &document) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dealing, known := s.groups[document.Group]
	if !known {
		dealing = &group{members: make(map[string]*groupMember)}
		s.groups[document.Group] = dealing
	}
	if request.URL.Path == platform.PathLeave {
		dealing.remove(document.Member)
		dealing.deal()
		return
	}
	dealing.topic = document.Topics[0]
	dealing.join(document, time.Now())
	writeDocument(writer, dealing.share(document.Member))
}

func (g *group) join(document platform.JoinDocument, now time.Time) {
	g.expire(now)
	member, known := g.members[document.Member]
	if !known {
		member = &groupMember{}
		g.members[document.Member] = member
		g.generation++
	}
	member.ttl = time.Duration(document.TTLMS) * time.Millisecond
	member.expires, member.heard = now.Add(member.ttl), document.Generation
	g.deal()
	g.pass()
}

// expire drops the members that were silent for too long.
func (g *group) expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		if now.After(g.members[name].expires) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, known := g.members[name]; !known {
		return
	}
	delete(g.members, name)
	g.generation++
	for i := range g.parts {
		if g.parts[i].member == name {
			g.parts[i].member = ""
		}
		if g.parts[i].next == name {
			g.parts[i].next = ""
		}
	}
}

func (g *group) holds(name string) int {
	count := 0
	for i := range g.parts {
		if g.parts[i].target() == name {
			count++
		}
	}
	return count
}

func (d *dealt) target() string {
	if d.next != "" {
		return d.next
	}
	return d.member
}

// deal gives partitions without a member to those with the fewest, and moves
// one where members differ by more than one.
func (g *group) deal() {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	fewest := func() string {
		return slices.MinFunc(names, func(a, b string) int { return g.holds(a) - g.holds(b) })
	}
	for i := range g.parts {
		if g.parts[i].target() == "" {
			g.parts[i].member = fewest()
			g.generation++
		}
	}
	for {
		most := slices.MaxFunc(names, func(a, b string) int { return g.holds(a) - g.holds(b) })
		least := fewest()
		if g.holds(most)-g.holds(least) <= 1 {
			return
		}
		for i := range g.parts {
			if g.parts[i].target() == most {
				g.move(i, least)
				break
			}
		}
	}
}

func (g *group) move(part int, to string) {
	g.generation++
	g.parts[part].next, g.parts[part].since = to, g.generation
}

// pass hands over the partitions whose member has heard that they move.
func (g *group) pass() {
	for i := range g.parts {
		part := &g.parts[i]
		holder, present := g.members[part.member]
		if part.next != "" && (!present || holder.heard >= part.since) {
			part.member, part.next = part.next, ""
		}
	}
}

// rebalance deals all partitions anew at once, unasked: the former holders hear
// of it at their next join.
func (g *group) rebalance() {
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	g.generation++
	for i := range g.parts {
		g.parts[i] = dealt{member: names[(i+int(g.generation))%len(names)], since: g.generation}
	}
}

// serveOwners tells who holds what.
func (s *Store) serveOwners(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	document := platform.OwnersDocument{Parts: [][]json.RawMessage{}}
	if dealing := s.groups[request.URL.Query().Get(platform.QueryGroup)]; dealing != nil {
		dealing.expire(time.Now())
		document.Parts = dealing.owners()
	}
	writeDocument(writer, document)
}

func (g *group) owners() [][]json.RawMessage {
	rows := [][]json.RawMessage{}
	for i := range g.parts {
		if g.parts[i].member != "" {
			rows = append(rows, row(g.topic, i, g.parts[i].member, 0))
		}
	}
	return rows
}

func row(columns ...any) []json.RawMessage {
	encoded := make([]json.RawMessage, len(columns))
	for i, column := range columns {
		// Texts and numbers can always be encoded.
		encoded[i], _ = json.Marshal(column)
	}
	return encoded
}

// Rebalance deals the partitions of every group anew.
func (s *Store) Rebalance() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, dealing := range s.groups {
		dealing.rebalance()
	}
}

func (g *group) share(member string) platform.ShareDocument {
	document := platform.ShareDocument{Generation: g.generation, Parts: [][]json.RawMessage{}}
	for i := range g.parts {
		if g.parts[i].member == member && g.parts[i].next == "" {
			document.Parts = append(document.Parts, row(g.topic, i, 0))
		}
	}
	return document
}
