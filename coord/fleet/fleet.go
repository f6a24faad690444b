// Package fleet keeps the platform's list of hosts and computes deltas between its
// versions, so that a daemon with an older list receives only the changes. It
// also tracks which backend servers are unavailable.
package fleet

import (
	"cmp"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Version is the version of the platform's list. It only increases.
type Version uint64

// Delta is the difference between two versions of the list.
type Delta struct {
	// Full is set when Updated is the whole list and From is ignored.
	Full bool    `json:"whole,omitempty"`
	From Version `json:"from"`
	To   Version `json:"to"`
	// Updated holds added and modified hosts, Removed those no longer listed.
	Updated []structs.BackendServer `json:"set,omitempty"`
	Removed []structs.HostName      `json:"removed,omitempty"`
}

// maxDeltas is how many deltas are kept for daemons with an older version.
const maxDeltas = 256

// HostList is a versioned list of hosts with its newest deltas. It is not safe
// for concurrent use.
type HostList struct {
	version Version
	hosts   map[structs.HostName]structs.BackendServer
	// deltas holds consecutive deltas, oldest first.
	deltas []Delta
}

// New returns an empty list of version zero.
func New() *HostList {
	return &HostList{hosts: make(map[structs.HostName]structs.BackendServer)}
}

// Version returns the version of the list.
func (l *HostList) Version() Version { return l.version }

// Hosts returns the hosts sorted by name.
func (l *HostList) Hosts() []structs.BackendServer {
	list := make([]structs.BackendServer, 0, len(l.hosts))
	for _, host := range l.hosts {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b structs.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Host returns a host and reports whether it is listed.
func (l *HostList) Host(name structs.HostName) (structs.BackendServer, bool) {
	host, ok := l.hosts[name]
	return host, ok
}

// Replace sets the whole list to that of a newer version and returns true. An
// older or equal version is ignored.
func (l *HostList) Replace(version Version, list []structs.BackendServer) bool {
	if version <= l.version {
		return false
	}
	delta := Delta{From: l.version, To: version}
	present := make(map[structs.HostName]bool, len(list))
	for _, host := range list {
		present[host.Name] = true
		if previous, ok := l.hosts[host.Name]; !ok || previous != host {
			delta.Updated = append(delta.Updated, host)
		}
	}
	for name := range l.hosts {
		if !present[name] {
			delta.Removed = append(delta.Removed, name)
		}
	}
	slices.Sort(delta.Removed)
	l.apply(delta)
	return true
}

// Since returns the delta from a version to the current one, or a full one when
// that version's delta is no longer kept.
func (l *HostList) Since(version Version) Delta {
	first := slices.IndexFunc(l.deltas, func(d Delta) bool { return d.From == version })
	if version == l.version {
		return Delta{From: version, To: version}
	}
	if first < 0 {
		return Delta{Full: true, To: l.version, Updated: l.Hosts()}
	}
	return joinDeltas(l.deltas[first:])
}

// Merge applies a delta and reports whether the list advanced to a newer version.
// A delta that does not start at the current version is ignored unless it is
// full.
func (l *HostList) Merge(delta Delta) bool {
	if delta.To <= l.version || !delta.Full && delta.From != l.version {
		return false
	}
	if delta.Full {
		return l.Replace(delta.To, delta.Updated)
	}
	l.apply(delta)
	return true
}

func (l *HostList) apply(delta Delta) {
	for _, host := range delta.Updated {
		l.hosts[host.Name] = host
	}
	for _, name := range delta.Removed {
		delete(l.hosts, name)
	}
	l.version = delta.To
	l.deltas = append(l.deltas, delta)
	if len(l.deltas) > maxDeltas {
		l.deltas = slices.Clone(l.deltas[1:])
	}
}

// joinDeltas combines consecutive deltas into one.
func joinDeltas(deltas []Delta) Delta {
	joined := Delta{From: deltas[0].From, To: deltas[len(deltas)-1].To}
	updated := make(map[structs.HostName]structs.BackendServer)
	removed := make(map[structs.HostName]bool)
	for _, delta := range deltas {
		for _, host := range delta.Updated {
			updated[host.Name] = host
			delete(removed, host.Name)
		}
		for _, name := range delta.Removed {
			removed[name] = true
			delete(updated, name)
		}
	}
	for _, host := range updated {
		joined.Updated = append(joined.Updated, host)
	}
	for name := range removed {
		joined.Removed = append(joined.Removed, name)
	}
	slices.SortFunc(joined.Updated, func(a, b structs.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(joined.Removed)
	return joined
}
