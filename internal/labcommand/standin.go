package labcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/wait"
)

func newStandIn() *cobra.Command {
	command := &cobra.Command{
		Use: "standin", Short: "Run one emulated part as a process of its own",
		Example: "  pathbend-lab standin platform --address 127.0.0.1:7000 --machines machines.yaml\n" +
			"  pathbend-lab standin engine --id e1 --pool teranga-samplers --zone plateau --platform 127.0.0.1:7000",
	}
	command.AddCommand(newPlatformStandIn(), newEngineStandIn(), newBackEndStandIn(), newScorerStandIn(), newTrainerStandIn())
	return command
}

// faultStep switches faults on for a while. Faults are the fields of the
// emulated part's fault type.
type faultStep[F any] struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Faults F             `yaml:"faults"`
}

// runFaults carries out a scenario file: a list of fault steps.
func runFaults[F any](ctx context.Context, path string, set func(F)) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read scenario")
	}
	var steps []faultStep[F]
	if err := yaml.UnmarshalWithOptions(content, &steps, yaml.Strict()); err != nil {
		return errors.Newf("%s: %s", path, err)
	}
	began := time.Now()
	for _, step := range steps {
		if !wait.Until(ctx, began.Add(step.At)) {
			return nil
		}
		set(step.Faults)
		if step.For > 0 && wait.Until(ctx, began.Add(step.At+step.For)) {
			var none F
			set(none)
		}
	}
	return nil
}

// serveUntilDone serves a handler until ctx ends. faults runs beside it.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, ready func(address string) error, faults func() error) error {
	listener, err := network.TCP{}.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	err = ready(listener.Addr().String())
	if err == nil {
		err = faults()
	}
	if err == nil {
		<-ctx.Done()
	}
	server.Close()
	group.Wait()
	return err
}

func newPlatformStandIn() *cobra.Command {
	var address, machines, faults string
	var listLag, loadTime time.Duration
	var loadSlots int
	command := &cobra.Command{
		Use: "platform", Short: "Log service, machine list and weight store",
		Example: "  pathbend-lab standin platform --address 127.0.0.1:7000 --machines machines.yaml", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			platform := emulator.NewPlatform(listLag, loadTime, loadSlots)
			if err := loadMachines(platform, machines); err != nil {
				return err
			}
			return serveUntilDone(command.Context(), address, platform.Handler(), printAddress(command),
				func() error { return runFaults(command.Context(), faults, platform.SetFaults) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7000", "address to listen on")
	flags.StringVar(&machines, "machines", "", "YAML file with a list of machines (id, role, pool, address, zone)")
	flags.StringVar(&faults, "faults", "", "scenario file of faults over time")
	flags.DurationVar(&listLag, "list-lag", time.Second, "how long a change takes to show in the machine list")
	flags.DurationVar(&loadTime, "load-time", 500*time.Millisecond, "how long one weight load takes")
	flags.IntVar(&loadSlots, "load-slots", 4, "weight loads at once")
	return command
}

func printAddress(command *cobra.Command) func(string) error {
	return func(address string) error {
		fmt.Fprintln(command.OutOrStdout(), "listening on", address)
		return nil
	}
}

// machineEntry is one entry of a machines file.
type machineEntry struct {
	ID      string `yaml:"id"`
	Role    string `yaml:"role"`
	Pool    string `yaml:"pool"`
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
}

func loadMachines(platform *emulator.Platform, path string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read machines")
	}
	var entries []machineEntry
	if err := yaml.UnmarshalWithOptions(content, &entries, yaml.Strict()); err != nil {
		return errors.Newf("%s: %s", path, err)
	}
	for _, entry := range entries {
		platform.SetMachine(fleet.Machine{
			ID: entry.ID, Role: fleet.Role(entry.Role), Pool: entry.Pool, Address: entry.Address, Zone: entry.Zone,
		})
	}
	return nil
}

// machineFlags are the flags of a stand-in that puts itself on the list.
type machineFlags struct {
	id, pool, zone, address, platform, faults string
}

func (m *machineFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&m.id, "id", "", "id of the machine")
	flags.StringVar(&m.pool, "pool", "", "pool that it belongs to")
	flags.StringVar(&m.zone, "zone", "", "zone that it is in")
	flags.StringVar(&m.address, "address", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&m.platform, "platform", "127.0.0.1:7000", "address of the platform stand-in")
	flags.StringVar(&m.faults, "faults", "", "scenario file of faults over time")
	for _, name := range []string{"id", "pool", "zone"} {
		_ = command.MarkFlagRequired(name) // the flag exists
	}
}

// register puts the machine on the platform stand-in's list.
func (m *machineFlags) register(command *cobra.Command, role fleet.Role) func(address string) error {
	return func(address string) error {
		content, err := json.Marshal(fleet.Machine{ID: m.id, Role: role, Pool: m.pool, Address: address, Zone: m.zone})
		if err != nil {
			return err
		}
		response, err := http.Post("http://"+m.platform+"/v1/machines", "application/json", bytes.NewReader(content))
		if err != nil {
			return errors.Wrap(err, "register with the platform")
		}
		response.Body.Close()
		return printAddress(command)(address)
	}
}

func newEngineStandIn() *cobra.Command {
	var machine machineFlags
	model := emulator.DefaultEngineModel()
	command := &cobra.Command{
		Use: "engine", Short: "A model engine",
		Example: "  pathbend-lab standin engine --id e1 --pool teranga-samplers --zone plateau", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			engine := emulator.NewEngine(machine.id, model, network.TCP{}, machine.platform, newRandom())
			var group conc.WaitGroup
			group.Go(func() { engine.Run(command.Context()) })
			defer group.Wait()
			return serveUntilDone(command.Context(), machine.address, engine.Handler(), machine.register(command, fleet.RoleEngine),
				func() error { return runFaults(command.Context(), machine.faults, engine.SetFaults) })
		},
	}
	machine.add(command)
	flags := command.Flags()
	flags.IntVar(&model.Capacity, "capacity", model.Capacity, "sequences in a batch")
	flags.DurationVar(&model.StepTime, "step-time", model.StepTime, "time of a decode step")
	flags.IntVar(&model.TokensPerStep, "tokens-per-step", model.TokensPerStep, "tokens a sequence gains in a step")
	flags.Float64Var(&model.MeanTokens, "mean-tokens", model.MeanTokens, "mean length of a response")
	return command
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newBackEndStandIn() *cobra.Command {
	var machine machineFlags
	var serviceTime time.Duration
	command := &cobra.Command{
		Use: "backend", Short: "An application back end",
		Example: "  pathbend-lab standin backend --id b1 --pool card-acquiring --zone fann", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			truth := emulator.NewTruth()
			backEnd := emulator.NewBackEnd(machine.id, serviceTime, truth, newRandom())
			return serveUntilDone(command.Context(), machine.address, backEnd, machine.register(command, fleet.RoleBackEnd),
				func() error { return runFaults(command.Context(), machine.faults, backEnd.SetFaults) })
		},
	}
	machine.add(command)
	command.Flags().DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "mean time of one execution")
	return command
}

func newScorerStandIn() *cobra.Command {
	var address string
	var scorer emulator.Scorer
	command := &cobra.Command{
		Use: "scorer", Short: "The service that scores samples for trainers",
		Example: "  pathbend-lab standin scorer --address 127.0.0.1:7100", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveUntilDone(command.Context(), address, scorer, printAddress(command), func() error { return nil })
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7100", "address to listen on")
	command.Flags().DurationVar(&scorer.ScoreTime, "score-time", 20*time.Millisecond, "time to score a sample")
	return command
}

func newTrainerStandIn() *cobra.Command {
	var nodes, tenant, model, scorer string
	var steps, groups, samples int
	var trainTime time.Duration
	command := &cobra.Command{
		Use: "trainer", Short: "A trainer that collects steps and publishes versions",
		Example: "  pathbend-lab standin trainer --nodes 127.0.0.1:8080 --tenant karri --model fitment-assistant", Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&nodes, "nodes", "127.0.0.1:8080", "HTTP addresses of nodes, comma-separated")
	flags.StringVar(&tenant, "tenant", "karri", "tenant")
	flags.StringVar(&scorer, "scorer", "", "address of a scoring service; empty for none")
	flags.StringVar(&model, "model", "fitment-assistant", "model")
	flags.IntVar(&steps, "steps", 5, "training steps to do")
	flags.IntVar(&groups, "groups", 8, "prompts a step")
	flags.IntVar(&samples, "samples", 8, "samples a prompt")
	flags.DurationVar(&trainTime, "train-time", time.Second, "time to train on a step")
	command.RunE = func(command *cobra.Command, _ []string) error {
		truth := emulator.NewTruth()
		trainer := &emulator.Trainer{
			Name: tenant + "-trainer", Tenant: tenant, Model: model, Truth: truth, MaxVersions: 1000,
			Client: client.New(client.Options{Addresses: splitList(nodes), Tenant: tenant}),
			Groups: groups, SamplesPerGroup: samples, MaxTokens: 1024, PromptBytes: 600, TrainTime: trainTime, StepsPerVersion: 1,
		}
		if scorer != "" {
			trainer.Score = emulator.ScoreAt(scorer)
		}
		ctx, cancel := context.WithCancel(command.Context())
		defer cancel()
		var group conc.WaitGroup
		group.Go(func() { trainer.Run(ctx) })
		for ctx.Err() == nil && len(trainer.Steps()) < steps {
			if !wait.For(ctx, 50*time.Millisecond) {
				break
			}
		}
		cancel()
		group.Wait()
		for _, step := range trainer.Steps() {
			fmt.Fprintf(command.OutOrStdout(), "step %d at version %d: %d samples, %d tokens, waited %.2f s\n",
				step.Number, step.Version, step.Samples, step.Tokens, step.Wait.Seconds())
		}
		if violations := truth.Judge(); len(violations) > 0 {
			return errors.Newf("%v: %w", violations, errViolations)
		}
		return nil
	}
	return command
}
