package hosted

import "github.com/pathbend/pathbend/internal/warmup"

// coldLimits returns what the cold samplers of each service bear.
func (n *Node) coldLimits() map[string]warmup.Limits {
	current := n.Catalog()
	if current == nil {
		return nil
	}
	limits := make(map[string]warmup.Limits)
	for name, service := range current.Services {
		limits[name] = warmup.NewLimits(service.ColdStart, service.ColdPerSecond, n.settings.ColdOver, n.settings.ColdSlack)
	}
	return limits
}
