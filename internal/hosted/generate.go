package hosted

import (
	"context"

	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/schedule"
)

// endedDetail is added to what is told of a run under which its sampler ended.
const endedDetail = "; the sampler has ended"

// generate runs an item at its sampler. If the sampler ended under it, the other nodes are
// told before it returns; if it survived the item, that clears the item.
func (n *Node) generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd {
	end := n.ports.Generator.Generate(ctx, run, take)
	end.Ended = end.Cut && ctx.Err() == nil && n.exchanger.BackEndEnded(ctx, run.Sampler.Address)
	switch {
	case end.Ended:
		end.Detail += endedDetail
		n.suspects.items.Ended(ctx, itemDigest(run.Item.Id), run.Sampler.ID)
	case end.Ending == schedule.Complete:
		n.suspects.items.Served(ctx, func() quarantine.Digest { return itemDigest(run.Item.Id) })
	}
	return end
}
