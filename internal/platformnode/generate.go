package platformnode

import (
	"context"

	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/schedule"
)

// endedDetail is appended to the detail of a run during which its sampler terminated.
const endedDetail = "; the sampler has ended"

// generate executes a run at its sampler. If the sampler terminated during the run, the item
// is recorded as a suspect for the other nodes before generate returns. A complete run clears
// the item of suspicion.
func (n *Node) generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd {
	end := n.ports.Generator.Generate(ctx, run, take)
	end.Ended = end.Cut && ctx.Err() == nil && n.exchanger.ProbeStopped(ctx, run.Sampler.Address)
	switch {
	case end.Ended:
		end.Detail += endedDetail
		n.suspects.items.ReportCrash(ctx, itemDigest(run.Item.Id), run.Sampler.ID)
	case end.Ending == schedule.Complete:
		n.suspects.items.ReportSuccess(ctx, func() quarantine.Digest { return itemDigest(run.Item.Id) })
	}
	return end
}
