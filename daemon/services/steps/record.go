package steps

import (
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// sampleOverhead is what a held sample takes beside its body, in bytes.
const sampleOverhead = 512

// bodies keeps the samples themselves. Implementations are safe for concurrent
// use.
type bodies interface {
	// put keeps records; it returns when they would survive what the
	// implementation promises to survive.
	put(records []record) error
	// get returns a sample and reports whether it is there.
	get(id structs.SampleID) (structs.Sample, bool)
	// remove forgets samples.
	remove(ids []structs.SampleID) error
	// each calls visit for every record, without its body.
	each(visit func(record)) error
	close() error
}

// record is a sample and the hosts that hold it. The first of them took the
// sample in.
type record struct {
	Sample  structs.Sample
	Holders [step.HolderCount]structs.HostName
}

// held is what a holder knows of a sample beside its body.
type held struct {
	offer     step.Offer
	workspace structs.WorkspaceName
	bytes     int64
	// offered is the term of the owner that took the offer, or zero.
	offered structs.Term
	// step is the one that the sample was sealed in, or zero.
	step uint64
	// pending is set until the second copy is known to be there. A holder of
	// a second copy knows it from the start.
	pending bool
	// recovered is set for a pending sample that was read after a restart.
	recovered bool
}

// describe says what a host knows of a sample that it begins to hold.
func (r record) describe(self structs.HostName) *held {
	return &held{
		workspace: r.Sample.Workspace,
		bytes:     int64(len(r.Sample.Body)) + sampleOverhead,
		pending:   r.Holders[0] == self,
		offer: step.Offer{
			ID:     r.Sample.ID,
			Oldest: r.Sample.OldestVersion(),
			// Without its monotonic reading, which other hosts cannot see.
			Born:    r.Sample.Born.Round(0),
			Holders: r.Holders,
		},
	}
}

func idsOf(records []record) []structs.SampleID {
	ids := make([]structs.SampleID, len(records))
	for i, r := range records {
		ids[i] = r.Sample.ID
	}
	return ids
}
