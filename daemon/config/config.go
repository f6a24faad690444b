// Package config reads the settings file of one daemon: its addresses, its
// availability zone and the address of the platform's store.
package config

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Daemon is the settings file of a daemon.
type Daemon struct {
	// Host is the daemon's name in the platform's host list.
	Host  structs.HostName `yaml:"host" validate:"required"`
	Place structs.Place    `yaml:"place"`
	// Listen holds the daemon's own addresses.
	Listen Listen `yaml:"listen"`
	// Store is the address of the platform's key-value store.
	Store string `yaml:"store" validate:"hostport"`
	// DataFolder is the directory for bulk data, on hosts that have a disk for it.
	DataFolder string `yaml:"data_folder"`
	Log        Log    `yaml:"log"`
	Limits     Limits `yaml:"limits"`
	Lease      Lease  `yaml:"lease"`
	Trust      Trust  `yaml:"trust"`
	// Routing sets the prices of traffic between regions.
	Routing Routing `yaml:"routing"`
	// Weights limits the rate of weight swaps in the zone.
	Weights Weights `yaml:"weights"`
	// Platform holds what a managed platform provides about itself and the host. It
	// is not part of the settings file.
	Platform ManagedPlatform `yaml:"-" validate:"-"`
}

// ManagedPlatform holds what a managed platform provides about itself and the host.
type ManagedPlatform struct {
	// ClosedNetwork is set when only the platform's hosts and its load balancer can
	// reach the daemon, so that it may listen without certificates.
	ClosedNetwork bool
	// Readiness is the address for the load balancer's readiness probes.
	Readiness string
	// Metrics is the address of the metrics endpoint.
	Metrics string
	// Regions maps every availability zone to its region.
	Regions map[structs.ZoneName]structs.RegionName
	// Strength is the number of processor cores that the daemon may use, and may be
	// a fraction; zero means unknown.
	Strength float64
	// StopGrace is the time between the request to stop this process and its kill.
	StopGrace time.Duration
	// ResultsKept is how long the results of a batch job must remain readable.
	ResultsKept time.Duration
	// ConfigApply is how soon a configuration must be in force.
	ConfigApply time.Duration
	// KeyRevocation is how soon a caller's key that was taken away must be refused, and
	// StrictRevocation whether a daemon that cannot learn of that in time refuses all keys.
	KeyRevocation    time.Duration
	StrictRevocation bool
	// Memory is the memory limit of the process in bytes, and Descriptors that of its
	// file descriptors; zero means unknown.
	Memory      int64
	Descriptors int
	Duties      outside.DutySettings
	// Entry holds the project's own settings.
	Entry Entry
	// FirstStart is set when the whole system starts for the first time, so that
	// there are no batch jobs of earlier runs.
	FirstStart bool
	// DialServer opens connections to backend servers; nil stands for TCP. Tests cut
	// a daemon's links with it.
	DialServer DialFunc
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Listen holds the addresses on which a daemon listens.
type Listen struct {
	// Callers is the address for HTTP.
	Callers string `yaml:"callers" validate:"hostport"`
	// Peers is the address for net/rpc between daemons.
	Peers string `yaml:"peers" validate:"hostport"`
	// Relay is the address for requests that other daemons pass on; only daemons on a
	// managed platform have one.
	Relay string `yaml:"-"`
}

// Trust configures the authentication of daemons and callers. Without certificates a
// daemon may listen on loopback addresses only.
type Trust struct {
	// Certificate, Key and Authority are paths of PEM files: the daemon's
	// certificate, issued for its IP address, its private key, and the certificate
	// authority of all daemons.
	Certificate string `yaml:"certificate" validate:"required_with=Key Authority"`
	Key         string `yaml:"key" validate:"required_with=Certificate Authority"`
	Authority   string `yaml:"authority" validate:"required_with=Certificate Key"`
	// Tokens are the accepted bearer tokens. A role without any is open to every
	// caller that passes TLS authentication.
	Tokens []Token `yaml:"tokens" validate:"unique=SHA256,dive"`
}

// Role is the set of permissions that a token grants.
type Role string

// The roles.
const (
	// RoleOperator may change the settings and read the state of daemons.
	RoleOperator Role = "operator"
	// RoleTrainer may fetch steps.
	RoleTrainer Role = "trainer"
)

// Token is an accepted bearer token, stored as a hash.
type Token struct {
	Role Role `yaml:"role" validate:"oneof=operator trainer"`
	// SHA256 is the hash of the token in hexadecimal.
	SHA256 string `yaml:"sha256" validate:"len=64,hexadecimal"`
	// Expires is the time from which the token is refused; the zero time means never.
	Expires time.Time `yaml:"expires"`
}

// Routing sets the prices of traffic between regions.
type Routing struct {
	// RegionPrice is the price per GiB between regions that Links does not list.
	RegionPrice float64 `yaml:"region_price" validate:"min=0"`
	// Links sets the prices of single links, each for both directions.
	Links []RegionLink `yaml:"links" validate:"dive"`
}

// RegionLink sets the price per GiB between two regions.
type RegionLink struct {
	From  structs.RegionName `yaml:"from" validate:"required"`
	To    structs.RegionName `yaml:"to" validate:"required"`
	Price float64            `yaml:"price" validate:"min=0"`
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warning error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// Limits bounds request bodies and the duration of a shutdown.
type Limits struct {
	// MaxBody is the largest request body, in bytes.
	MaxBody int64 `yaml:"max_body" validate:"min=1,max=67108864"`
	// UnreadyFor is how long a stopping daemon reports itself unready and still
	// accepts requests, so that the load balancer can remove it first.
	UnreadyFor settings.Duration `yaml:"unready_for" validate:"min=0,max=3600000000000"`
	// StopWithin is how long a graceful shutdown takes at the most. Requests in flight
	// get three quarters of it.
	// Rollouts, drafts and waits for a step are aborted after half of it.
	StopWithin settings.Duration `yaml:"stop_within" validate:"min=0,max=86400000000000"`
}

// Lease sets the durations of the lease protocol by which a zone agrees on settings.
type Lease struct {
	// Store is the time to live of the collector's lease in the store.
	Store settings.Duration `yaml:"store" validate:"min=100000000,max=600000000000"`
	// Grant is the duration of a grant, for which a follower may assume that its
	// settings are current.
	Grant settings.Duration `yaml:"grant" validate:"min=100000000,max=600000000000"`
	// Decide is how long a staged change may wait for acknowledgements.
	Decide settings.Duration `yaml:"decide" validate:"min=100000000,max=600000000000"`
}

// Weights limits the load that the weight swaps of an availability zone's engines put
// on the weight store. The collector of the zone enforces it.
type Weights struct {
	// Orders is the number of concurrent weight swaps.
	Orders int `yaml:"orders" validate:"min=1,max=200"`
	// OrdersPerSecond is the number of weight swaps that may start in a second.
	OrdersPerSecond float64 `yaml:"orders_per_second" validate:"gt=0,max=10000"`
	// OrderWithin is the timeout of a weight swap.
	OrderWithin settings.Duration `yaml:"order_within" validate:"min=100000000,max=3600000000000"`
}

// Default returns the defaults of optional settings.
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
	if err := v.RegisterValidation("hostport", isIPAndPort); err != nil {
		panic(err)
	}
	return v
}

// isIPAndPort accepts an IP address with a port. Host names are not allowed.
func isIPAndPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// Read reads and validates a settings file. It fails with code SettingsUnread,
// SettingsMalformed or SettingsInvalid. The message of SettingsMalformed includes line
// and column.
func Read(path string) (Daemon, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, result.Wrap(result.SettingsUnread, err)
	}
	return Parse(source)
}

// Parse parses and validates the text of a settings file. Errors are those of Read.
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

// ParseDocument parses and validates the text of the operators' document. Errors are
// those of Read.
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

// DecodeStrict decodes YAML into a value. It fails with code SettingsMalformed, also on
// unknown fields.
func DecodeStrict(source []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(source), yaml.Strict())
	if err := decoder.Decode(into); err != nil {
		return result.New(result.SettingsMalformed, "%s", yaml.FormatError(err, false, false))
	}
	return nil
}
