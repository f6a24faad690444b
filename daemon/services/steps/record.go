package steps

import (
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// sampleOverhead is the size in bytes that is charged for a stored sample in
// addition to its body.
const sampleOverhead = 512

// recordStore stores records. Implementations are safe for concurrent use.
type recordStore interface {
	// put stores records. It returns when they are as durable as the
	// implementation makes them.
	put(records []record) error
	// get returns a sample and reports whether it is stored.
	get(id structs.SampleID) (structs.Sample, bool)
	// remove deletes samples. Missing ones are no error.
	remove(ids []structs.SampleID) error
	// forEach calls visit for each record.
	forEach(visit func(record)) error
	close() error
}

// record is a stored sample and the hosts that held it at that time. The first
// holder had its copy before the second.
type record struct {
	Sample  structs.Sample
	Holders [step.HolderCount]structs.HostName
}

// sampleState is the state of a stored sample, without its body.
type sampleState struct {
	offer     step.Offer
	workspace structs.WorkspaceName
	bytes     int64
	// acceptedTerm is the term of the owner that accepted the offer, or zero.
	acceptedTerm structs.Term
	// sealedStep is the step that the sample is sealed in, or zero.
	sealedStep uint64
	// unconfirmed is set on the first holder until the second copy is known to
	// exist. A second holder never sets it, because the first copy is written
	// before the second.
	unconfirmed bool
	// recovered is set for an unconfirmed sample that was read after a restart.
	recovered bool
}

// newState returns the initial state of a record that the host self stores.
func (r record) newState(self structs.HostName) *sampleState {
	return &sampleState{
		workspace:   r.Sample.Workspace,
		bytes:       int64(len(r.Sample.Body)) + sampleOverhead,
		unconfirmed: r.Holders[0] == self,
		offer: step.Offer{
			ID:     r.Sample.ID,
			Oldest: r.Sample.OldestVersion(),
			// Round strips the monotonic reading, which has no meaning on other
			// hosts.
			Born:    r.Sample.Born.Round(0),
			Holders: r.Holders,
		},
	}
}

func recordIDs(records []record) []structs.SampleID {
	ids := make([]structs.SampleID, len(records))
	for i, r := range records {
		ids[i] = r.Sample.ID
	}
	return ids
}
