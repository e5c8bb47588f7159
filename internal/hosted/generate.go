package hosted

import (
	"context"

	"github.com/pathbend/pathbend/internal/schedule"
)

// endedDetail is added to what is told of a run under which its sampler ended.
const endedDetail = "; the sampler has ended"

// generate runs an item at its sampler, and finds out whether the sampler ended under it.
func (n *Node) generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd {
	end := n.ports.Generator.Generate(ctx, run, take)
	end.Ended = end.Cut && ctx.Err() == nil && n.exchanger.BackEndEnded(ctx, run.Sampler.Address)
	if end.Ended {
		end.Detail += endedDetail
	}
	return end
}
