package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/node"
)

func newServe() *cobra.Command {
	defaults := node.DefaultSettings()
	flags := defaults
	var path string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run a node",
		Long: "Run a node until it receives SIGTERM or SIGINT. The node then drains: it refuses new\n" +
			"work as not run, finishes the work in progress, hands its jobs over and exits with 0.",
		Example: "  pathbend serve --settings node.yaml\n" +
			"  pathbend serve --name a1 --zone plateau --log-address 127.0.0.1:7000 --machines-address 127.0.0.1:7000",
		Args: exactArguments(0),
	}
	set := command.Flags()
	set.StringVar(&path, "settings", "", "settings file in YAML; flags override it")
	set.StringVar(&flags.Name, "name", "", "name of the machine")
	set.StringVar(&flags.Zone, "zone", "", "zone of the machine")
	set.StringVar(&flags.HTTPAddress, "http-address", defaults.HTTPAddress, "address for callers and trainers")
	set.StringVar(&flags.PeerAddress, "peer-address", defaults.PeerAddress, "address for other nodes")
	set.StringVar(&flags.AdminAddress, "admin-address", defaults.AdminAddress, "address for operators")
	set.StringVar(&flags.LogAddress, "log-address", "", "address of the platform's log")
	set.StringVar(&flags.MachinesAddress, "machines-address", "", "address of the platform's machine list")
	set.DurationVar(&flags.DrainTimeout, "drain-timeout", defaults.DrainTimeout, "maximum time that a drain waits for requests in progress")
	set.StringVar(&flags.LogLevel, "log-level", defaults.LogLevel, "minimum severity of logged events: debug, info, warn or error")
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := mergeSettings(command, path, flags)
		if err != nil {
			return err
		}
		return serve(command.Context(), settings, command.ErrOrStderr())
	}
	return command
}

// mergeSettings reads the settings file, if there is one, and overrides it with the flags
// that were given. Errors are usageErrors.
func mergeSettings(command *cobra.Command, path string, flags node.Settings) (node.Settings, error) {
	settings := node.DefaultSettings()
	if path != "" {
		loaded, err := node.LoadSettings(path)
		if err != nil {
			return settings, usageError{err}
		}
		settings = loaded
	}
	changed := command.Flags().Changed
	for name, values := range map[string][2]*string{
		"name": {&settings.Name, &flags.Name}, "zone": {&settings.Zone, &flags.Zone},
		"http-address": {&settings.HTTPAddress, &flags.HTTPAddress}, "peer-address": {&settings.PeerAddress, &flags.PeerAddress},
		"admin-address": {&settings.AdminAddress, &flags.AdminAddress}, "log-address": {&settings.LogAddress, &flags.LogAddress},
		"machines-address": {&settings.MachinesAddress, &flags.MachinesAddress}, "log-level": {&settings.LogLevel, &flags.LogLevel},
	} {
		if changed(name) {
			*values[0] = *values[1]
		}
	}
	if changed("drain-timeout") {
		settings.DrainTimeout = flags.DrainTimeout
	}
	if err := settings.Validate(); err != nil {
		return settings, usageError{err}
	}
	return settings, nil
}

// drainGracePeriod is how long a drained process keeps running, so that callers can read
// the last responses.
const drainGracePeriod = 200 * time.Millisecond

const (
	// gcPercent trades memory for fewer garbage collections: the live heap of a node is
	// small, and each collection adds latency.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent when memory use approaches it, so
	// that gcPercent does not let the heap become large.
	memoryLimitBytes = 1 << 30
)

// configureGC sets the parameters of the garbage collector that the environment variables
// GOGC and GOMEMLIMIT do not set.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func serve(ctx context.Context, settings node.Settings, logs io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return usageError{err}
	}
	configureGC()
	logger := event.NewLogger(logs, level)
	logger.Log(event.SettingsLoaded, "name", settings.Name, "zone", settings.Zone, "log", settings.LogAddress)
	instance, err := node.New(settings, network.TCP{}, logger)
	if err != nil {
		return err
	}
	if err := instance.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		instance.Drain()
	case <-instance.Drained():
	}
	time.Sleep(drainGracePeriod)
	instance.Stop()
	return nil
}
