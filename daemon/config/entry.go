package config

import (
	"os"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
)

// Entry holds the project's own settings of a daemon on a managed platform, which
// provides all others. Every field is optional.
type Entry struct {
	// Clients bounds what clients may hold of the daemon.
	Clients Clients `yaml:"clients"`
	// Hedging limits the extra work of hedged requests.
	Hedging Hedging `yaml:"hedging"`
}

// Clients bounds what clients may hold of a daemon. Each field that is zero follows from
// the limits of the host.
type Clients struct {
	// Bytes is what may be held for all clients together.
	Bytes int64 `yaml:"bytes" validate:"min=0"`
	// Connections is the number of connections of callers, and Requests that of requests
	// in progress.
	Connections int `yaml:"connections" validate:"min=0"`
	Requests    int `yaml:"requests" validate:"min=0"`
	// Work is the memory of accepted batch jobs beyond which no more are accepted.
	Work int64 `yaml:"work" validate:"min=0"`
	// StalledAfter is how long a client that holds much may stand still when others need
	// the room.
	StalledAfter settings.Duration `yaml:"stalled_after" validate:"min=0,max=3600000000000"`
}

// Hedging limits the extra work of hedged requests.
type Hedging struct {
	// ExtraShare is the number of hedged requests that are allowed for each request to a
	// service, over all daemons together and for each workspace. Zero sets no limit of its
	// own: requests are hedged after a fixed part of their latency target, within the
	// retry budget.
	ExtraShare float64 `yaml:"extra_share" validate:"min=0,max=1"`
}

// DefaultEntry returns the defaults.
func DefaultEntry() Entry { return Entry{} }

// ReadEntry reads and validates a settings file; an empty path means the defaults. It
// fails with code SettingsUnread, SettingsMalformed or SettingsInvalid.
func ReadEntry(path string) (Entry, error) {
	if path == "" {
		return DefaultEntry(), nil
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, result.Wrap(result.SettingsUnread, err)
	}
	return ParseEntry(source)
}

// ParseEntry parses and validates the text of a settings file. Errors are those of
// ReadEntry.
func ParseEntry(source []byte) (Entry, error) {
	entry := DefaultEntry()
	if err := DecodeStrict(source, &entry); err != nil {
		return Entry{}, err
	}
	if err := validate.Struct(entry); err != nil {
		return Entry{}, result.Wrap(result.SettingsInvalid, err)
	}
	return entry, nil
}
