package lab

import (
	"time"

	"github.com/pathbend/pathbend/examples"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/fleet"
)

// Names of the tenants in the example configuration.
const (
	Teranga = "teranga"
	Karri   = "karri"
)

// DefaultZones returns the three zones of the example cluster, named after the sites of the
// tenant Teranga.
func DefaultZones() []string { return []string{"plateau", "fann", "diamniadio"} }

// ExampleDocument loads the example configuration.
func ExampleDocument() (*config.Document, error) {
	return config.LoadFS(examples.Files, "examples")
}

// ExamplePools returns the machine pools of both example tenants at their current sizes, with the
// given performance model of engines.
func ExamplePools(model emulator.EngineModel) []Pool {
	return []Pool{
		{Name: "teranga-samplers", Role: fleet.RoleEngine, Size: 8, Model: model},
		{Name: "karri-samplers", Role: fleet.RoleEngine, Size: 9, Model: model},
		{Name: "card-acquiring", Role: fleet.RoleBackEnd, Size: 3, ServiceTime: 4 * time.Millisecond},
		{Name: "dealer-catalogue", Role: fleet.RoleBackEnd, Size: 4, ServiceTime: 3 * time.Millisecond},
	}
}

// TerangaMix returns the application traffic of Teranga, a card acquirer.
func TerangaMix() []emulator.RouteTraffic {
	return []emulator.RouteTraffic{
		{Route: "authorise", Weight: 6, AtMostOnce: true, BodyBytes: 400, Timeout: 2 * time.Second},
		{Route: "merchant-check", Weight: 3, BodyBytes: 200, Timeout: 5 * time.Second},
		{Route: "settle", Weight: 1, BodyBytes: 4000, Timeout: 10 * time.Second},
	}
}

// KarriMix returns the application traffic of Karri, a catalogue host.
func KarriMix() []emulator.RouteTraffic {
	return []emulator.RouteTraffic{
		{Route: "lookup", Weight: 8, BodyBytes: 100, Timeout: 2 * time.Second},
		{Route: "order-line", Weight: 1, AtMostOnce: true, BodyBytes: 300, Timeout: 5 * time.Second},
		{Route: "sync", Weight: 1, BodyBytes: 16000, Timeout: 30 * time.Second},
	}
}

// ExampleOptions returns the options of the example cluster: one node per zone and the pools
// of both tenants.
func ExampleOptions(networks Networks, seed uint64) (Options, error) {
	document, err := ExampleDocument()
	return Options{
		Networks: networks, Seed: seed, Zones: DefaultZones(), NodesPerZone: 1,
		Pools: ExamplePools(emulator.DefaultEngineModel()), Document: document,
		ListLag: 2 * time.Second, LoadTime: 300 * time.Millisecond, LoadSlots: 8, DrainTimeout: 20 * time.Second,
	}, err
}
