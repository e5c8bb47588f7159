package platformsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	tenantCount = 3
	// keysEach is the number of keys of a tenant.
	keysEach = 2
	// configBound is how long after its acknowledgement a configuration must be in
	// force.
	configBound = 3 * time.Second
	// neverAKey is held by no tenant in any configuration.
	neverAKey = "never-a-key"
)

// keyTruth is what the operator said of a key.
type keyTruth struct {
	tenant string
	// given and taken are when the store acknowledged it; taken is zero while the key
	// is held.
	given, taken time.Time
}

// tenantBook holds the tenants of a world and the keys of all its configurations.
type tenantBook struct {
	mutex sync.Mutex
	names []string
	keys  map[string]*keyTruth
	drawn int
	// bound is set where the first tenant is bound to a region.
	bound bool
}

func newTenantBook() *tenantBook {
	book := &tenantBook{keys: make(map[string]*keyTruth)}
	for i := range tenantCount {
		name := fmt.Sprintf("tenant-%d", i+1)
		book.names = append(book.names, name)
		for range keysEach {
			book.give(name)
		}
	}
	return book
}

// give adds a key. It is called under the lock, or before the book is shared.
func (b *tenantBook) give(tenant string) {
	b.drawn++
	b.keys[fmt.Sprintf("key-%d-of-%s", b.drawn, tenant)] = &keyTruth{tenant: tenant, given: time.Now()}
}

// rotate takes all keys of a tenant away and gives it others.
func (b *tenantBook) rotate(target uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	tenant := b.names[target%uint64(len(b.names))]
	for _, key := range b.keys {
		if key.tenant == tenant && key.taken.IsZero() {
			key.taken = time.Now()
		}
	}
	for range keysEach {
		b.give(tenant)
	}
}

// documents are the tenants as the configuration lists them.
func (b *tenantBook) documents() []platform.TenantDocument {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var documents []platform.TenantDocument
	for i, name := range b.names {
		documents = append(documents, platform.TenantDocument{Name: name, Keys: b.held(name), Priority: i % 2})
		if b.bound && i == 0 {
			documents[i].Regions = []string{tenantRegion}
		}
	}
	return documents
}

// held lists the keys that a tenant holds. It is called under the lock.
func (b *tenantBook) held(tenant string) []string {
	var held []string
	for key, known := range b.keys {
		if known.tenant == tenant && known.taken.IsZero() {
			held = append(held, key)
		}
	}
	slices.Sort(held)
	return held
}

// keyFor draws a key that a tenant holds now.
func (b *tenantBook) keyFor(tenant string, random *rand.Rand) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.held(tenant)
	return held[random.IntN(len(held))]
}

// takenKey returns a key that was taken away for longer than a configuration needs,
// or one that nobody ever held, and what the operator said of it.
func (b *tenantBook) takenKey() (string, keyTruth) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var taken []string
	for key, known := range b.keys {
		if !known.taken.IsZero() && time.Since(known.taken) > configBound {
			taken = append(taken, key)
		}
	}
	if len(taken) == 0 {
		return neverAKey, keyTruth{}
	}
	slices.Sort(taken)
	newest := taken[len(taken)-1]
	return newest, *b.keys[newest]
}

// other returns a tenant other than one.
func (b *tenantBook) other(tenant string) string {
	for _, name := range b.names {
		if name != tenant {
			return name
		}
	}
	return tenant
}

// heldFor is how long a key has been held.
func (b *tenantBook) heldFor(key string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.keys[key]
	if known == nil || !known.taken.IsZero() {
		return 0
	}
	return time.Since(known.given)
}

// authorization is the header that shows a key.
func authorization(key string) string { return platform.SchemeToken + " " + key }

// Claims notes for which tenant a request or an item runs.
func (t *Truth) Claims(id, tenant string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tenants[id] = tenant
}

// Intrudes notes a request, sent now, whose key the operator has taken away or never gave.
func (t *Truth) Intrudes(id string, key keyTruth) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tenants[id] = key.tenant
	t.intruders[id] = intrusion{taken: key.taken, sent: time.Now()}
}

// intrusion is a request with a key that no tenant holds.
type intrusion struct {
	// taken is when the store acknowledged that the key was taken away, zero if nobody
	// ever held it.
	taken, sent time.Time
}

// judgeTenant rules on the tenant that a request from a node names to a sampler, and on
// a key that reaches one. A machine out of touch may know a key that was taken away; it
// then names the tenant that held it.
func (t *Truth) judgeTenant(id, node string, header http.Header) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if shown := header.Get(platform.HeaderAuthorization); shown != "" {
		t.broken("UNASKED", "request %s shows a sampler %q", id, shown)
	}
	if named := header.Get(platform.HeaderTenant); named != t.tenants[id] {
		t.broken("UNASKED", "request %s of tenant %q names %q to a sampler", id, t.tenants[id], named)
	}
	known, intrudes := t.intruders[id]
	if !intrudes {
		return
	}
	late := known.sent.Sub(known.taken)
	switch {
	case known.taken.IsZero():
		t.broken("ROUTE", "request %s of a key that nobody ever held reached a sampler from %s", id, node)
	case late > configBound+t.lateness(time.Now()) && t.inTouch(node, time.Now()):
		t.broken("CONFIG", "request %s, sent %v after its key was taken away, reached a sampler from %s", id, late, node)
	}
}

// judgeDenial rules on a 401 to a key that every node must know.
func (t *Truth) judgeDenial(got answered, id, key string, heldFor time.Duration) {
	if got.status != http.StatusUnauthorized {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if heldFor > configBound+t.allowance(time.Now()) {
		t.broken("DENIED", "%s denies request %s with key %s, held for %v", got.node, id, key, heldFor)
	}
}

// judgeIntrusion rules on the answer to a key that no tenant holds any more.
func (t *Truth) judgeIntrusion(got answered, id, key string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if got.status < http.StatusMultipleChoices && (key == neverAKey || t.inTouch(got.node, got.began)) {
		t.broken("ROUTE", "%s serves request %s with key %s", got.node, id, key)
	}
}
