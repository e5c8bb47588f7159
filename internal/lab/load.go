package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/emulator"
)

// Load generates the traffic of callers and trainers on a cluster.
type Load struct {
	Callers  []*emulator.Caller
	Trainers []*emulator.Trainer
}

// LoadOptions configure the traffic.
type LoadOptions struct {
	// TerangaRate and KarriRate are the application requests per second of each tenant, 0 for
	// no callers.
	TerangaRate float64
	KarriRate   float64
	// Groups is the number of prompts in a training step, 0 for no trainers. Each prompt has
	// SamplesPerGroup samples.
	Groups          int
	SamplesPerGroup int
	// TrainTime is the time that a trainer takes for a step after collecting its samples.
	TrainTime time.Duration
	// StepsPerVersion is the number of steps after which a trainer announces a version.
	StepsPerVersion int
}

// scoreTime is the time that the scoring service takes for a sample.
const scoreTime = 20 * time.Millisecond

// DemoLoad returns the options of the demo's traffic.
func DemoLoad() LoadOptions {
	return LoadOptions{
		TerangaRate: 120, KarriRate: 180, Groups: 8, SamplesPerGroup: 8,
		TrainTime: 1500 * time.Millisecond, StepsPerVersion: 1,
	}
}

// NewLoad returns the traffic of both example tenants for the cluster.
func (c *Cluster) NewLoad(options LoadOptions) *Load {
	zones := c.Options.Zones
	load := &Load{}
	load.addCaller(c, Teranga, zones[0], options.TerangaRate, TerangaMix(), 11)
	load.addCaller(c, Karri, zones[len(zones)-1], options.KarriRate, KarriMix(), 12)
	load.addTrainer(c, Teranga, "fraud-scorer", zones[0], options, 13)
	load.addTrainer(c, Karri, "fitment-assistant", zones[len(zones)-1], options, 14)
	return load
}

func (l *Load) addCaller(c *Cluster, tenant, zone string, rate float64, mix []emulator.RouteTraffic, seed uint64) {
	if rate <= 0 {
		return
	}
	l.Callers = append(l.Callers, &emulator.Caller{
		Name: tenant + "-caller", Rate: rate, Mix: mix, Checker: c.Checker,
		Client: c.NewClient(tenant, tenant+"-callers", zone, seed),
		Random: rand.New(rand.NewPCG(c.Options.Seed, seed)),
	})
}

func (l *Load) addTrainer(c *Cluster, tenant, model, zone string, options LoadOptions, seed uint64) {
	if options.Groups == 0 {
		return
	}
	modelSpec := c.Options.Document.FindTenant(tenant).FindModel(model)
	l.Trainers = append(l.Trainers, &emulator.Trainer{
		Name: tenant + "-trainer", Tenant: tenant, Model: model, Checker: c.Checker,
		Client:      c.NewClient(tenant, tenant+"-trainer", zone, seed),
		MaxVersions: modelSpec.Freshness.MaxVersions, MaxTokens: modelSpec.MaxTokens,
		Groups: options.Groups, SamplesPerGroup: options.SamplesPerGroup, PromptBytes: 600,
		TrainTime: options.TrainTime, StepsPerVersion: options.StepsPerVersion, ScoreTime: scoreTime,
	})
}

// Run generates traffic until ctx ends, waits for the requests in progress and closes the
// clients.
func (l *Load) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, caller := range l.Callers {
		tasks.Go(func() { caller.Run(ctx) })
	}
	for _, trainer := range l.Trainers {
		tasks.Go(func() { trainer.Run(ctx) })
	}
	tasks.Wait()
	for _, caller := range l.Callers {
		caller.Client.Close()
	}
	for _, trainer := range l.Trainers {
		trainer.Client.Close()
	}
}
