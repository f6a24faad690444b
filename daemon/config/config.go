// Package config holds the settings file of one daemon: its addresses, its
// availability zone and where the platform is.
package config

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Daemon is the settings file of a daemon.
type Daemon struct {
	// Host is the daemon's name in the platform's host list.
	Host  structs.HostName `yaml:"host" validate:"required"`
	Place structs.Place    `yaml:"place"`
	// Listen holds the daemon's own addresses.
	Listen Listen `yaml:"listen"`
	// Store is the address of the platform's key-value service.
	Store string `yaml:"store" validate:"hostport"`
	// DataFolder holds bulk data, on hosts that have a disk for it.
	DataFolder string `yaml:"data_folder"`
	Log        Log    `yaml:"log"`
	Limits     Limits `yaml:"limits"`
	Lease      Lease  `yaml:"lease"`
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	// Callers is the address for HTTP.
	Callers string `yaml:"callers" validate:"hostport"`
	// Peers is the address for net/rpc between daemons.
	Peers string `yaml:"peers" validate:"hostport"`
}

// Log says what is logged and how.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warning error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// Limits bounds what a daemon takes on.
type Limits struct {
	// MaxBody is the largest request body, in bytes.
	MaxBody int64 `yaml:"max_body" validate:"min=1,max=67108864"`
	// StopWithin is how long a graceful shutdown waits for requests in flight.
	StopWithin settings.Duration `yaml:"stop_within" validate:"min=0,max=86400000000000"`
}

// Lease holds the spans of the settings protocol.
type Lease struct {
	// Store is the time to live of the collector's lease in the store.
	Store settings.Duration `yaml:"store" validate:"min=100000000,max=600000000000"`
	// Grant is the time T for which a follower takes its settings for the
	// newest.
	Grant settings.Duration `yaml:"grant" validate:"min=100000000,max=600000000000"`
	// Decide is how long a staged change may wait for acknowledgements. Where a
	// collector fails it takes a zone about Store and two Grant to do so.
	Decide settings.Duration `yaml:"decide" validate:"min=100000000,max=600000000000"`
}

// Default returns the values that a file need not give.
func Default() Daemon {
	return Daemon{
		Log:    Log{Level: "info", Format: "text"},
		Limits: Limits{MaxBody: 1 << 20, StopWithin: settings.Duration(30 * time.Second)},
		Lease: Lease{
			Store:  settings.Duration(2 * time.Second),
			Grant:  settings.Duration(2 * time.Second),
			Decide: settings.Duration(10 * time.Second),
		},
	}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("hostport", isAddress); err != nil {
		panic(err)
	}
	return v
}

// isAddress accepts an IP number and port, as the brief wants no host names.
func isAddress(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// Read reads and checks a settings file. It fails with code SettingsUnread,
// SettingsMalformed or SettingsInvalid; the message names line and column.
func Read(path string) (Daemon, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, result.Wrap(result.SettingsUnread, err)
	}
	return Parse(source)
}

// Parse checks the text of a settings file; see Read.
func Parse(source []byte) (Daemon, error) {
	daemon := Default()
	if err := Strict(source, &daemon); err != nil {
		return Daemon{}, err
	}
	if err := validate.Struct(daemon); err != nil {
		return Daemon{}, result.Wrap(result.SettingsInvalid, err)
	}
	return daemon, nil
}

// ParseDocument checks the text of the operators' document; see Read.
func ParseDocument(source []byte) (*settings.Document, error) {
	document := &settings.Document{}
	if err := Strict(source, document); err != nil {
		return nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err)
	}
	return document, nil
}

// Strict decodes YAML and refuses unknown fields, with code
// SettingsMalformed.
func Strict(source []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(into); err != nil {
		return result.New(result.SettingsMalformed, "%s", yaml.FormatError(err, false, false))
	}
	return nil
}
