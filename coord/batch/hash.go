package batch

import "github.com/cespare/xxhash/v2"

// mix is the weight of a name for a job in rendezvous hashing.
func mix(job, name string) uint64 { return xxhash.Sum64String(job + "\x00" + name) }
