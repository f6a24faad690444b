package batch

import "github.com/cespare/xxhash/v2"

// rendezvousWeight returns the weight of a daemon for a job in rendezvous
// hashing.
func rendezvousWeight(job, name string) uint64 { return xxhash.Sum64String(job + "\x00" + name) }
