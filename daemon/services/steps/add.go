package steps

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Add implements contract.Steps. It gives an id to the samples that have none.
func (s *service) Add(ctx context.Context, samples []structs.Sample) error {
	if s.ctx.Err() != nil {
		return result.New(result.Stopping, "")
	}
	if err := s.check(samples); err != nil {
		return err
	}
	s.assignIDs(samples)
	// A call that was given up may read the samples later than the caller.
	samples = slices.Clone(samples)
	if err := s.keep(&KeepArgs{Samples: samples, Holders: [step.HolderCount]structs.HostName{s.config.Host}}); err != nil {
		return err
	}
	if err := s.replicate(ctx, samples); err != nil {
		return err
	}
	for _, workspace := range workspacesOf(samples) {
		s.offererOf(workspace).wakeUp()
	}
	return nil
}

// check refuses samples that do not say where they come from.
func (s *service) check(samples []structs.Sample) error {
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

// assignIDs numbers the samples that have no id yet.
func (s *service) assignIDs(samples []structs.Sample) {
	for i := range samples {
		if samples[i].ID.Origin.Host == "" {
			samples[i].ID = structs.SampleID{Origin: s.self().Incarnation, Number: s.number.Add(1)}
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

// replicate puts samples that are kept here on another daemon as well. Whoever
// holds a second copy therefore knows that there are two. When no daemon can
// have taken the second copy, the first is dropped.
func (s *service) replicate(ctx context.Context, samples []structs.Sample) error {
	holders, definite, err := s.copyOut(ctx, samples, s.config.Host)
	switch {
	case err == nil:
		s.holdings.confirm(samples, holders)
		return nil
	case definite:
		s.holdings.drop(sampleIDs(samples))
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

// maxMates is how many daemons are tried for the second copy.
const maxMates = 8

// mates lists daemons for a copy beside a keeper's: first those of this zone,
// then the others, each in a random order.
func (s *service) mates(keeper structs.HostName) []structs.BackendServer {
	var near, far []structs.BackendServer
	for _, daemon := range s.hosts.View().Load().Daemons {
		switch {
		case daemon.Name == s.config.Host || daemon.Name == keeper || daemon.Draining:
		case daemon.Place.Zone == s.config.Place.Zone:
			near = append(near, daemon)
		default:
			far = append(far, daemon)
		}
	}
	shuffle(near)
	shuffle(far)
	// At least one place is left for the far ones.
	near = near[:min(len(near), maxMates-1)]
	all := append(near, far...)
	return all[:min(len(all), maxMates)]
}

func shuffle(daemons []structs.BackendServer) {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
}

// keep holds samples on this host.
func (s *service) keep(args *KeepArgs) error {
	records := make([]record, len(args.Samples))
	for i, sample := range args.Samples {
		records[i] = record{Sample: sample, Holders: args.Holders}
	}
	if err := s.holdings.keep(records); err != nil {
		return err
	}
	for _, workspace := range workspacesOf(args.Samples) {
		s.offererOf(workspace)
	}
	return nil
}
