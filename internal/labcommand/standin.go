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
		Use: "standin", Short: "Run one emulated service as a separate process",
		Example: "  pathbend-lab standin platform --address 127.0.0.1:7000 --machines machines.yaml\n" +
			"  pathbend-lab standin engine --id e1 --pool teranga-samplers --zone plateau --platform 127.0.0.1:7000",
	}
	command.AddCommand(newPlatformStandIn(), newEngineStandIn(), newBackEndStandIn(), newScorerStandIn(), newTrainerStandIn())
	return command
}

// faultStep enables faults for some time. F is the fault type of the emulated service.
type faultStep[F any] struct {
	// At is the start of the step, relative to the start of the scenario.
	At time.Duration `yaml:"at"`
	// For is the duration of the step; 0 keeps the faults until the next step.
	For    time.Duration `yaml:"for"`
	Faults F             `yaml:"faults"`
}

// runFaults runs the scenario file at path, a YAML list of fault steps, until its end or that
// of ctx. An empty path is no scenario.
func runFaults[F any](ctx context.Context, path string, setFaults func(F)) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read fault scenario")
	}
	var steps []faultStep[F]
	if err := yaml.UnmarshalWithOptions(content, &steps, yaml.Strict()); err != nil {
		return errors.Newf("%s: %s", path, err)
	}
	startedAt := time.Now()
	for _, step := range steps {
		if !wait.Until(ctx, startedAt.Add(step.At)) {
			return nil
		}
		setFaults(step.Faults)
		if step.For > 0 && wait.Until(ctx, startedAt.Add(step.At+step.For)) {
			var noFaults F
			setFaults(noFaults)
		}
	}
	return nil
}

// serveUntilDone serves a handler until ctx ends. It calls onListening with the bound address,
// then runFaultScenario, and stops early if one of them returns an error.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, onListening func(address string) error, runFaultScenario func() error) error {
	listener, err := network.TCP{}.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	err = onListening(listener.Addr().String())
	if err == nil {
		err = runFaultScenario()
	}
	if err == nil {
		<-ctx.Done()
	}
	server.Close()
	group.Wait()
	return err
}

func newPlatformStandIn() *cobra.Command {
	var address, machinesPath, faultsPath string
	var listLag, loadTime time.Duration
	var loadSlots int
	command := &cobra.Command{
		Use: "platform", Short: "Log service, machine list and weight store",
		Example: "  pathbend-lab standin platform --address 127.0.0.1:7000 --machines machines.yaml", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			platform := emulator.NewPlatform(listLag, loadTime, loadSlots)
			if err := loadMachines(platform, machinesPath); err != nil {
				return err
			}
			return serveUntilDone(command.Context(), address, platform.Handler(), printAddress(command),
				func() error { return runFaults(command.Context(), faultsPath, platform.SetFaults) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:7000", "address to listen on")
	flags.StringVar(&machinesPath, "machines", "", "YAML file with a list of machines (id, role, pool, address, zone)")
	flags.StringVar(&faultsPath, "faults", "", "scenario file of faults over time")
	flags.DurationVar(&listLag, "list-lag", time.Second, "delay until a change shows in the machine list")
	flags.DurationVar(&loadTime, "load-time", 500*time.Millisecond, "duration of a weight load")
	flags.IntVar(&loadSlots, "load-slots", 4, "number of concurrent weight loads")
	return command
}

// printAddress returns a function that prints the address on which the service listens.
func printAddress(command *cobra.Command) func(string) error {
	return func(address string) error {
		fmt.Fprintln(command.OutOrStdout(), "listening on", address)
		return nil
	}
}

// machineEntry is an entry of the machines file.
type machineEntry struct {
	ID      string `yaml:"id"`
	Role    string `yaml:"role"`
	Pool    string `yaml:"pool"`
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
}

// loadMachines adds the machines in a YAML file to the machine list. An empty path adds none.
func loadMachines(platform *emulator.Platform, path string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read machines file")
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

// machineFlags are the flags of an emulated service that registers itself in the machine list.
type machineFlags struct {
	id, pool, zone, address, platform, faultsPath string
}

func (m *machineFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&m.id, "id", "", "id of the machine")
	flags.StringVar(&m.pool, "pool", "", "pool of the machine")
	flags.StringVar(&m.zone, "zone", "", "zone of the machine")
	flags.StringVar(&m.address, "address", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&m.platform, "platform", "127.0.0.1:7000", "address of the emulated platform")
	flags.StringVar(&m.faultsPath, "faults", "", "scenario file of faults over time")
	for _, name := range []string{"id", "pool", "zone"} {
		_ = command.MarkFlagRequired(name) // fails only for an undefined flag
	}
}

// register returns a function that adds the machine to the emulated platform's list and prints
// the address.
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
				func() error { return runFaults(command.Context(), machine.faultsPath, engine.SetFaults) })
		},
	}
	machine.add(command)
	flags := command.Flags()
	flags.IntVar(&model.Capacity, "capacity", model.Capacity, "maximum number of sequences in a batch")
	flags.DurationVar(&model.StepTime, "step-time", model.StepTime, "base duration of a decode step")
	flags.IntVar(&model.TokensPerStep, "tokens-per-step", model.TokensPerStep, "tokens generated per sequence in a decode step")
	flags.Float64Var(&model.MeanTokens, "mean-tokens", model.MeanTokens, "mean length of a response in tokens")
	return command
}

// newRandom returns a random source with a random seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newBackEndStandIn() *cobra.Command {
	var machine machineFlags
	var serviceTime time.Duration
	command := &cobra.Command{
		Use: "backend", Short: "An application back end",
		Example: "  pathbend-lab standin backend --id b1 --pool card-acquiring --zone fann", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			checker := emulator.NewChecker()
			backEnd := emulator.NewBackEnd(machine.id, serviceTime, checker, newRandom())
			return serveUntilDone(command.Context(), machine.address, backEnd, machine.register(command, fleet.RoleBackEnd),
				func() error { return runFaults(command.Context(), machine.faultsPath, backEnd.SetFaults) })
		},
	}
	machine.add(command)
	command.Flags().DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "mean duration of a request")
	return command
}

func newScorerStandIn() *cobra.Command {
	var address string
	var scorer emulator.Scorer
	command := &cobra.Command{
		Use: "scorer", Short: "A service that scores samples for trainers",
		Example: "  pathbend-lab standin scorer --address 127.0.0.1:7100", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveUntilDone(command.Context(), address, scorer, printAddress(command), func() error { return nil })
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7100", "address to listen on")
	command.Flags().DurationVar(&scorer.ScoreTime, "score-time", 20*time.Millisecond, "duration of scoring a sample")
	return command
}

func newTrainerStandIn() *cobra.Command {
	var nodes, tenant, model, scorerAddress string
	var steps, groups, samples int
	var trainTime time.Duration
	command := &cobra.Command{
		Use: "trainer", Short: "A trainer that collects samples and announces weight versions",
		Example: "  pathbend-lab standin trainer --nodes 127.0.0.1:8080 --tenant karri --model fitment-assistant", Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&nodes, "nodes", "127.0.0.1:8080", "HTTP addresses of nodes, comma-separated")
	flags.StringVar(&tenant, "tenant", "karri", "tenant")
	flags.StringVar(&scorerAddress, "scorer", "", "address of a scoring service; empty for none")
	flags.StringVar(&model, "model", "fitment-assistant", "model")
	flags.IntVar(&steps, "steps", 5, "number of training steps")
	flags.IntVar(&groups, "groups", 8, "prompts per step")
	flags.IntVar(&samples, "samples", 8, "samples per prompt")
	flags.DurationVar(&trainTime, "train-time", time.Second, "duration of training on a step")
	command.RunE = func(command *cobra.Command, _ []string) error {
		checker := emulator.NewChecker()
		trainer := &emulator.Trainer{
			Name: tenant + "-trainer", Tenant: tenant, Model: model, Checker: checker, MaxVersions: 1000,
			Client: client.New(client.Options{Addresses: splitList(nodes), Tenant: tenant}),
			Groups: groups, SamplesPerGroup: samples, MaxTokens: 1024, PromptBytes: 600, TrainTime: trainTime, StepsPerVersion: 1,
		}
		if scorerAddress != "" {
			trainer.Score = emulator.NewScoreFunc(scorerAddress)
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
		if violations := checker.CheckInvariants(); len(violations) > 0 {
			return errors.Newf("%v: %w", violations, errViolations)
		}
		return nil
	}
	return command
}
