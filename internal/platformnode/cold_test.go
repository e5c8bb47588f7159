package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/schedule"
)

func coldCatalog(models ...string) *catalog.Catalog {
	service := catalog.Service{Name: "s", Models: models, ColdDuration: 3 * time.Second, ColdRequestsPerSecond: 6}
	return &catalog.Catalog{Version: 1, Services: map[string]catalog.Service{"s": service}}
}

func TestRequestsAvoidColdModelSamplers(t *testing.T) {
	n := newTestNode()
	n.settings.ColdFactor, n.settings.ColdSlack = 1.5, 3
	limits := n.requestLimits(coldCatalog("m"), schedule.Sampler{ID: "i", Service: "s"}, []string{n.settings.Name})
	require.Zero(t, limits.ColdPerSecond)
	limits = n.requestLimits(coldCatalog(), schedule.Sampler{ID: "i", Service: "s"}, []string{n.settings.Name})
	require.Equal(t, 6, limits.ColdPerSecond)
}

func TestExecutorStaysWithinHalfOfTheColdLimit(t *testing.T) {
	n := newTestNode()
	n.settings.ColdFactor, n.settings.ColdSlack = 1.5, 3
	n.catalog.Store(coldCatalog("m"))
	limits := n.coldLimits()["s"]
	require.LessOrEqual(t, float64(2*limits.ColdPerSecond), 6*1.5+3)
	require.LessOrEqual(t, float64(2*limits.WarmPerSecond), 6*1.5+3)
}
