// Package fleet keeps the platform's list of hosts and works out what changed,
// so that a daemon that has an older list is handed the difference alone.
package fleet

import (
	"cmp"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Version numbers the states of the platform's list; it only grows.
type Version uint64

// Delta turns the list of one version into that of a later one.
type Delta struct {
	// Full says that Updated is the whole list, whatever was known before.
	Full bool    `json:"whole,omitempty"`
	From Version `json:"from"`
	To   Version `json:"to"`
	// Updated are new or altered hosts, Removed those no longer listed.
	Updated []structs.BackendServer `json:"set,omitempty"`
	Removed []structs.HostName      `json:"removed,omitempty"`
}

// keptDeltas is the count of differences kept for daemons that lag behind.
const keptDeltas = 256

// HostList is a list of hosts with its newest differences. It is not safe for
// concurrent use.
type HostList struct {
	version Version
	hosts   map[structs.HostName]structs.BackendServer
	deltas  []Delta
}

// New returns an empty list of version zero.
func New() *HostList {
	return &HostList{hosts: make(map[structs.HostName]structs.BackendServer)}
}

// Version is the one of the newest list known.
func (f *HostList) Version() Version { return f.version }

// Hosts returns the hosts in order of their names.
func (f *HostList) Hosts() []structs.BackendServer {
	list := make([]structs.BackendServer, 0, len(f.hosts))
	for _, host := range f.hosts {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b structs.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Host returns a host and reports whether it is listed.
func (f *HostList) Host(name structs.HostName) (structs.BackendServer, bool) {
	host, ok := f.hosts[name]
	return host, ok
}

// Replace takes the platform's whole list of a version and reports whether it
// is newer than the one known.
func (f *HostList) Replace(version Version, list []structs.BackendServer) bool {
	if version <= f.version {
		return false
	}
	delta := Delta{From: f.version, To: version}
	present := make(map[structs.HostName]bool, len(list))
	for _, host := range list {
		present[host.Name] = true
		if known, ok := f.hosts[host.Name]; !ok || known != host {
			delta.Updated = append(delta.Updated, host)
		}
	}
	for name := range f.hosts {
		if !present[name] {
			delta.Removed = append(delta.Removed, name)
		}
	}
	slices.Sort(delta.Removed)
	f.apply(delta)
	return true
}

// Since returns the difference to a version, or the whole list when the
// differences since are no longer kept.
func (f *HostList) Since(version Version) Delta {
	first := slices.IndexFunc(f.deltas, func(d Delta) bool { return d.From == version })
	if version == f.version {
		return Delta{From: version, To: version}
	}
	if first < 0 {
		return Delta{Full: true, To: f.version, Updated: f.Hosts()}
	}
	return join(f.deltas[first:])
}

// Merge applies a difference and reports whether the list is newer than
// before. A difference from another version than the one known is ignored.
func (f *HostList) Merge(delta Delta) bool {
	if delta.To <= f.version || !delta.Full && delta.From != f.version {
		return false
	}
	if delta.Full {
		return f.Replace(delta.To, delta.Updated)
	}
	f.apply(delta)
	return true
}

func (f *HostList) apply(delta Delta) {
	for _, host := range delta.Updated {
		f.hosts[host.Name] = host
	}
	for _, name := range delta.Removed {
		delete(f.hosts, name)
	}
	f.version = delta.To
	f.deltas = append(f.deltas, delta)
	if len(f.deltas) > keptDeltas {
		f.deltas = slices.Clone(f.deltas[1:])
	}
}

// join makes one difference of several that follow each other.
func join(deltas []Delta) Delta {
	joined := Delta{From: deltas[0].From, To: deltas[len(deltas)-1].To}
	set := make(map[structs.HostName]structs.BackendServer)
	removed := make(map[structs.HostName]bool)
	for _, delta := range deltas {
		for _, host := range delta.Updated {
			set[host.Name] = host
			delete(removed, host.Name)
		}
		for _, name := range delta.Removed {
			removed[name] = true
			delete(set, name)
		}
	}
	for _, host := range set {
		joined.Updated = append(joined.Updated, host)
	}
	for name := range removed {
		joined.Removed = append(joined.Removed, name)
	}
	slices.SortFunc(joined.Updated, func(a, b structs.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(joined.Removed)
	return joined
}
