package platformsim

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// longPrefix begins the paths of requests that run for longWork, which is longer than the
	// grace period of a planned stop, and may run once.
	longPrefix = "/long/"
	longWork   = 2 * gracePeriodS * time.Second
)

// countLongRequests counts the runs of long requests at back ends.
const countLongRequests = "long requests run"

// sendTo sends a request to one node and waits for its answer, for up to timeout.
func (c *caller) sendTo(node, path string, timeout time.Duration) (callResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id := fmt.Sprintf("c%x", c.random.Uint64())
	c.world.Checker.RecordTenant(id, c.tenant)
	c.world.Checker.BindRegion(id, c.boundRegion(""))
	header := http.Header{
		platform.HeaderRequestID:  {id},
		platform.HeaderDeadlineMs: {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	return c.callNode(ctx, node, http.MethodPost, path, header, nil)
}
