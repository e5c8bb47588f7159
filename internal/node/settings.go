package node

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Settings are the settings of one process, from a file and flags. The configuration of
// tenants is not part of them; it is read from the log.
type Settings struct {
	Name string `yaml:"name" validate:"required" doc:"Name of the machine; the process adds a random part."`
	Zone string `yaml:"zone" validate:"required" doc:"Zone that the machine is in."`

	HTTPAddress  string `yaml:"http_address" validate:"required,hostname_port" doc:"Address for callers and trainers, host:port."`
	PeerAddress  string `yaml:"peer_address" validate:"required,hostname_port" doc:"Address for other nodes, host:port."`
	AdminAddress string `yaml:"admin_address" validate:"required,hostname_port" doc:"Address for operators, host:port."`

	LogAddress      string `yaml:"log_address" validate:"required,hostname_port" doc:"Address of the platform's log service."`
	MachinesAddress string `yaml:"machines_address" validate:"required,hostname_port" doc:"Address of the platform's machine list."`

	DrainTimeout time.Duration `yaml:"drain_timeout" validate:"gt=0" doc:"How long a drain waits for requests in progress."`
	LogLevel     string        `yaml:"log_level" validate:"oneof=debug info warn error" doc:"Least severe level that is logged."`
	// Seed makes random choices reproducible. With 0 a random seed is used.
	Seed uint64 `yaml:"seed,omitempty" doc:"Seed of random choices; 0 draws one."`
}

// DefaultSettings returns the values of the settings that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		HTTPAddress:  "127.0.0.1:8080",
		PeerAddress:  "127.0.0.1:8081",
		AdminAddress: "127.0.0.1:8082",
		DrainTimeout: 60 * time.Second,
		LogLevel:     "info",
	}
}

// LoadSettings reads a settings file. Settings that it omits have their default values;
// unknown settings are an error.
func LoadSettings(path string) (Settings, error) {
	settings := DefaultSettings()
	content, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Wrap(err, "read settings")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&settings); err != nil {
		return settings, errors.Newf("%s: %s", path, err)
	}
	return settings, nil
}

// Validate checks the settings. The error has one line per invalid field, with the field and
// how to fix it.
func (s Settings) Validate() error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	var invalid validator.ValidationErrors
	if !errors.As(validate.Struct(s), &invalid) {
		return nil
	}
	var lines []string
	for _, field := range invalid {
		lines = append(lines, fmt.Sprintf("%s: value %q is not allowed; %s", field.Field(), field.Value(), settingFix(field)))
	}
	return errors.Newf("settings: %s", strings.Join(lines, "\nsettings: "))
}

// settingFix returns how to fix an invalid field.
func settingFix(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "set it in the settings file or by --" + strings.ReplaceAll(field.Field(), "_", "-")
	case "hostname_port":
		return "write host:port"
	case "oneof":
		return "use one of " + strings.ReplaceAll(field.Param(), " ", ", ")
	default:
		return "must be greater than " + field.Param()
	}
}
