package config

import (
	"os"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// Entry holds the project's own settings of a daemon on a managed platform, which
// provides all others. Every field is optional.
type Entry struct {
	// Clients bounds what clients may hold of the daemon.
	Clients Clients `yaml:"clients"`
	// Hedging limits the extra work of hedged requests.
	Hedging Hedging `yaml:"hedging"`
}

// Clients bounds what clients may hold of a daemon.
type Clients struct{}

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
