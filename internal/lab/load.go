package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/emulator"
)

// Load is the traffic of callers and trainers on a cluster.
type Load struct {
	Callers  []*emulator.Caller
	Trainers []*emulator.Trainer
}

// LoadOptions size the traffic.
type LoadOptions struct {
	// TerangaRate and KarriRate are application requests a second.
	TerangaRate float64
	KarriRate   float64
	// Groups and SamplesPerGroup size a training step.
	Groups          int
	SamplesPerGroup int
	TrainTime       time.Duration
	StepsPerVersion int
}

// scoreTime is what the scoring service takes for a sample.
const scoreTime = 20 * time.Millisecond

// DemoLoad is the traffic of the demo.
func DemoLoad() LoadOptions {
	return LoadOptions{
		TerangaRate: 120, KarriRate: 180, Groups: 8, SamplesPerGroup: 8,
		TrainTime: 1500 * time.Millisecond, StepsPerVersion: 1,
	}
}

// NewLoad builds the example traffic for a cluster.
func (c *Cluster) NewLoad(options LoadOptions) *Load {
	zones := c.Options.Zones
	load := &Load{}
	load.addCaller(c, Teranga, zones[0], options.TerangaRate, TerangaMix(), 11)
	load.addCaller(c, Karri, zones[len(zones)-1], options.KarriRate, KarriMix(), 12)
	load.addTrainer(c, Teranga, "fraud-scorer", zones[0], options, 13)
	load.addTrainer(c, Karri, "fitment-assistant", zones[len(zones)-1], options, 14)
	return load
}

func (l *Load) addCaller(c *Cluster, tenant, zone string, rate float64, mix []emulator.RouteMix, seed uint64) {
	if rate <= 0 {
		return
	}
	l.Callers = append(l.Callers, &emulator.Caller{
		Name: tenant + "-caller", Rate: rate, Mix: mix, Truth: c.Truth,
		Client: c.NewClient(tenant, tenant+"-callers", zone, seed),
		Random: rand.New(rand.NewPCG(c.Options.Seed, seed)),
	})
}

func (l *Load) addTrainer(c *Cluster, tenant, model, zone string, options LoadOptions, seed uint64) {
	if options.Groups == 0 {
		return
	}
	declared := c.Options.Document.FindTenant(tenant).FindModel(model)
	l.Trainers = append(l.Trainers, &emulator.Trainer{
		Name: tenant + "-trainer", Tenant: tenant, Model: model, Truth: c.Truth,
		Client:      c.NewClient(tenant, tenant+"-trainer", zone, seed),
		MaxVersions: declared.Freshness.MaxVersions, MaxTokens: declared.MaxTokens,
		Groups: options.Groups, SamplesPerGroup: options.SamplesPerGroup, PromptBytes: 600,
		TrainTime: options.TrainTime, StepsPerVersion: options.StepsPerVersion, ScoreTime: scoreTime,
	})
}

// Run drives the traffic until ctx ends and waits for the last answers.
func (l *Load) Run(ctx context.Context) {
	var actors conc.WaitGroup
	for _, caller := range l.Callers {
		actors.Go(func() { caller.Run(ctx) })
	}
	for _, trainer := range l.Trainers {
		actors.Go(func() { trainer.Run(ctx) })
	}
	actors.Wait()
	for _, caller := range l.Callers {
		caller.Client.Close()
	}
	for _, trainer := range l.Trainers {
		trainer.Client.Close()
	}
}
