package steps

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Add implements contract.Steps. It assigns an id to each sample without one.
func (s *service) Add(ctx context.Context, samples []structs.Sample) error {
	if s.ctx.Err() != nil {
		return result.New(result.Stopping, "")
	}
	if err := s.validate(samples); err != nil {
		return err
	}
	s.assignIDs(samples)
	// Peer calls that outlive this one may still read the samples, so they get a
	// copy.
	samples = slices.Clone(samples)
	if err := s.storeLocal(&KeepArgs{Samples: samples, Holders: [step.HolderCount]structs.HostName{s.config.Host}}); err != nil {
		return err
	}
	if err := s.replicate(ctx, samples); err != nil {
		return err
	}
	for _, workspace := range workspacesOf(samples) {
		s.offererOf(workspace).notifySamplesAdded()
	}
	return nil
}

// validate rejects samples of an unknown workspace, without weight versions or
// without a time of birth.
func (s *service) validate(samples []structs.Sample) error {
	for i := range samples {
		sample := &samples[i]
		if _, err := s.settings.LastKnownParameters(sample.Workspace); err != nil {
			return err
		}
		if sample.OldestVersion() == 0 || sample.Born.IsZero() {
			return result.New(result.BadRequest, "a sample must name its versions and its birth")
		}
	}
	return nil
}

// assignIDs assigns an id to each sample without one.
func (s *service) assignIDs(samples []structs.Sample) {
	for i := range samples {
		if samples[i].ID.Origin.Host == "" {
			samples[i].ID = structs.SampleID{Origin: s.selfOwner().Incarnation, Number: s.lastSampleNumber.Add(1)}
		}
	}
}

func workspacesOf(samples []structs.Sample) []structs.WorkspaceName {
	var names []structs.WorkspaceName
	for i := range samples {
		if !slices.Contains(names, samples[i].Workspace) {
			names = append(names, samples[i].Workspace)
		}
	}
	return names
}

// replicate copies samples that are stored here to a second daemon. The first
// copy is always written before the second, so that the holder of a second copy
// can rely on the first one. When no daemon can have stored the second copy,
// the first is removed.
func (s *service) replicate(ctx context.Context, samples []structs.Sample) error {
	holders, notStored, err := s.copyToPeer(ctx, samples, s.config.Host)
	switch {
	case err == nil:
		s.sampleStore.confirmReplicas(samples, holders)
		return nil
	case notStored:
		s.sampleStore.remove(sampleIDs(samples))
		return err
	default:
		return result.Wrap(result.OutcomeUnknown, err)
	}
}

func sampleIDs(samples []structs.Sample) []structs.SampleID {
	ids := make([]structs.SampleID, len(samples))
	for i := range samples {
		ids[i] = samples[i].ID
	}
	return ids
}

// maxReplicaCandidates is the number of daemons tried for the second copy.
const maxReplicaCandidates = 8

// replicaCandidates lists daemons that can store a second copy beside that of
// holder: first those of this zone, then the others, each in random order.
// Draining daemons are left out.
func (s *service) replicaCandidates(holder structs.HostName) []structs.BackendServer {
	var sameZone, otherZones []structs.BackendServer
	for _, daemon := range s.hosts.View().Load().Daemons {
		switch {
		case daemon.Name == s.config.Host || daemon.Name == holder || daemon.Draining:
		case daemon.Place.Zone == s.config.Place.Zone:
			sameZone = append(sameZone, daemon)
		default:
			otherZones = append(otherZones, daemon)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	// Other zones get at least one of the candidates.
	sameZone = sameZone[:min(len(sameZone), maxReplicaCandidates-1)]
	candidates := append(sameZone, otherZones...)
	return candidates[:min(len(candidates), maxReplicaCandidates)]
}

func shuffle(daemons []structs.BackendServer) {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
}

// storeLocal stores samples on this host and makes sure that the offerers of
// their workspaces run.
func (s *service) storeLocal(args *KeepArgs) error {
	records := make([]record, len(args.Samples))
	for i, sample := range args.Samples {
		records[i] = record{Sample: sample, Holders: args.Holders}
	}
	if err := s.sampleStore.add(records); err != nil {
		return err
	}
	for _, workspace := range workspacesOf(args.Samples) {
		s.offererOf(workspace)
	}
	return nil
}
