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
	Trust      Trust  `yaml:"trust"`
	// Routing holds the prices of traffic between regions.
	Routing Routing `yaml:"routing"`
	// Weights bounds the roll-out of weight versions in the zone.
	Weights Weights `yaml:"weights"`
	// Platform holds what a daemon on a managed platform is told by it; it has no
	// place in the settings file.
	Platform ManagedPlatform `yaml:"-" validate:"-"`
}

// ManagedPlatform is what a managed platform tells a daemon of itself and of its host.
type ManagedPlatform struct {
	// ClosedNetwork says that the platform lets none but its own hosts and its
	// balancer reach the daemon, so that it may listen without certificates.
	ClosedNetwork bool
	// Readiness is the address for the balancer's probes.
	Readiness string
	// Metrics is the address that serves counters and histograms.
	Metrics string
	// Regions maps every availability zone to its region.
	Regions map[structs.ZoneName]structs.RegionName
	// Strength is the part of a processor core that the daemon may use; zero is
	// not known.
	Strength float64
	// ResultsKept is how long the results of a batch job must stay readable.
	ResultsKept time.Duration
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	// Callers is the address for HTTP.
	Callers string `yaml:"callers" validate:"hostport"`
	// Peers is the address for net/rpc between daemons.
	Peers string `yaml:"peers" validate:"hostport"`
}

// Trust says whom the daemon believes. Without certificates it may listen on
// loopback only.
type Trust struct {
	// Certificate, Key and Authority are PEM files: the daemon's certificate
	// with its IP number, its key, and the authority that signs all of them.
	Certificate string `yaml:"certificate" validate:"required_with=Key Authority"`
	Key         string `yaml:"key" validate:"required_with=Certificate Authority"`
	Authority   string `yaml:"authority" validate:"required_with=Certificate Key"`
	// Tokens are those that operators and trainers show. A role without any
	// is open to every caller that TLS lets in.
	Tokens []Token `yaml:"tokens" validate:"unique=SHA256,dive"`
}

// Role says what the bearer of a token may do.
type Role string

// The roles.
const (
	// RoleOperator may change settings and see the daemons' state.
	RoleOperator Role = "operator"
	// RoleTrainer may take steps.
	RoleTrainer Role = "trainer"
)

// Token is a secret that is kept as its hash.
type Token struct {
	Role Role `yaml:"role" validate:"oneof=operator trainer"`
	// SHA256 is the hash of the token in hexadecimal.
	SHA256 string `yaml:"sha256" validate:"len=64,hexadecimal"`
	// Expires is when the token is refused; the zero time means never.
	Expires time.Time `yaml:"expires"`
}

// Routing holds the prices of traffic between regions.
type Routing struct {
	// RegionPrice is the price of a GiB between regions that Links does not
	// name.
	RegionPrice float64 `yaml:"region_price" validate:"min=0"`
	// Links holds the prices of single links, each for both directions.
	Links []RegionLink `yaml:"links" validate:"dive"`
}

// RegionLink is the price of a GiB between two regions.
type RegionLink struct {
	From  structs.RegionName `yaml:"from" validate:"required"`
	To    structs.RegionName `yaml:"to" validate:"required"`
	Price float64            `yaml:"price" validate:"min=0"`
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
	// UnreadyFor is how long a daemon that stops still takes requests, so that
	// the balancer can see that it is no longer ready.
	UnreadyFor settings.Duration `yaml:"unready_for" validate:"min=0,max=3600000000000"`
	// StopWithin is how long a graceful shutdown waits for requests in flight.
	// Rollouts, Drafts and waits for a step are broken off after half of it.
	StopWithin settings.Duration `yaml:"stop_within" validate:"min=0,max=86400000000000"`
}

// Lease holds the spans of the settings protocol.
type Lease struct {
	// Store is the time to live of the collector's lease in the store.
	Store settings.Duration `yaml:"store" validate:"min=100000000,max=600000000000"`
	// Grant is the time T for which a follower takes its settings for the
	// newest.
	Grant settings.Duration `yaml:"grant" validate:"min=100000000,max=600000000000"`
	// Decide is how long a staged change may wait for acknowledgements.
	Decide settings.Duration `yaml:"decide" validate:"min=100000000,max=600000000000"`
}

// Weights bounds how fast a collector lets the engines of its availability zone
// read the weight store.
type Weights struct {
	// Orders is how many engines may swap their weights at once.
	Orders int `yaml:"orders" validate:"min=1,max=200"`
	// OrdersPerSecond is how many engines may begin to in a second.
	OrdersPerSecond float64 `yaml:"orders_per_second" validate:"gt=0,max=10000"`
	// OrderWithin is how long an engine may take to swap its weights.
	OrderWithin settings.Duration `yaml:"order_within" validate:"min=100000000,max=3600000000000"`
}

// Default returns the values that a file need not give.
func Default() Daemon {
	return Daemon{
		Log: Log{Level: "info", Format: "text"},
		Limits: Limits{
			MaxBody:    1 << 20,
			UnreadyFor: settings.Duration(3 * time.Second),
			StopWithin: settings.Duration(30 * time.Second),
		},
		Lease: Lease{
			Store:  settings.Duration(3 * time.Second),
			Grant:  settings.Duration(3 * time.Second),
			Decide: settings.Duration(14 * time.Second),
		},
		Weights: Weights{Orders: 128, OrdersPerSecond: 100, OrderWithin: settings.Duration(30 * time.Second)},
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
	if err := DecodeStrict(source, &daemon); err != nil {
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
	if err := DecodeStrict(source, document); err != nil {
		return nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err)
	}
	return document, nil
}

// DecodeStrict decodes YAML and refuses unknown fields, with code
// SettingsMalformed.
func DecodeStrict(source []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(into); err != nil {
		return result.New(result.SettingsMalformed, "%s", yaml.FormatError(err, false, false))
	}
	return nil
}
