package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/group"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// cancelTimeout bounds the call that ends a stream on its engine.
const cancelTimeout = time.Second

// stream is one attempt at a sample, on a goroutine of its own.
type stream struct {
	run   *run
	ctx   context.Context
	start group.StreamStart
	// oldest is the lowest weight version wanted of the engine.
	oldest structs.WeightVersion
	// whole is set once the last chunk has come.
	whole bool
	// tokens and received count what came, the latter in bytes, and version
	// made the newest chunk.
	tokens   int
	received int64
	version  structs.WeightVersion
}

// errStopped is the outcome of a request that was stopped here: nothing is
// known against its server then, nor for it.
var errStopped = result.Wrap(result.OutcomeUnknown, context.Canceled)

// placed says that a stream goes to a server.
type placed struct {
	attempt group.StreamID
	server  structs.HostName
}

func (e placed) apply(r *run) { r.group.HandlePlacement(r.service.clock.Now(), e.attempt, e.server) }

// chunked says that a stream made a piece of its answer.
type chunked struct {
	attempt group.StreamID
	chunk   group.Chunk
}

func (e chunked) apply(r *run) {
	r.carryOut(r.group.HandleChunk(r.service.clock.Now(), e.attempt, e.chunk))
}

// broken says that a stream ended before its last chunk.
type broken struct {
	attempt group.StreamID
	server  structs.HostName
	err     error
}

func (e broken) apply(r *run) {
	r.service.log.WithError(e.err).Debugf("A stream of group %s on %q broke.", r.request.Group, e.server)
	r.carryOut(r.group.HandleStreamFailure(r.service.clock.Now(), e.attempt, e.server, result.CodeOf(e.err)))
}

// work waits out the delay, gets a server and reads its answer.
func (st *stream) work() {
	if !st.run.service.pause(st.ctx, st.start.Delay) {
		return
	}
	ticket, err := st.pick()
	if err != nil {
		st.tell(broken{attempt: st.start.Stream, err: err})
		return
	}
	st.tell(placed{attempt: st.start.Stream, server: ticket.Server.Name})
	clock := st.run.service.clock
	begun := clock.Now()
	err = st.generate(ticket.Server)
	ticket.Finish(st.outcome(err, clock.Since(begun)))
	if err != nil && st.ctx.Err() == nil {
		st.tell(broken{attempt: st.start.Stream, server: ticket.Server.Name, err: err})
	}
}

// outcome is what the balancer learns of the stream.
func (st *stream) outcome(err error, latency time.Duration) contract.TicketOutcome {
	if err != nil && st.ctx.Err() != nil {
		err = errStopped
	}
	return contract.TicketOutcome{
		Err:     err,
		Latency: latency,
		Units:   st.tokens,
		Bytes:   int64(len(st.run.request.Prompt)+len(st.start.Prefix)) + st.received,
		Version: st.version,
	}
}

func (st *stream) pick() (contract.Ticket, error) {
	r := st.run
	return r.service.balancer.Pick(st.ctx, contract.PickRequest{
		Service:     r.parameters.Model,
		Workspace:   r.request.Workspace,
		Class:       r.request.Class,
		Deadline:    r.due,
		Affinity:    affinityOf(r.request.Prompt),
		MinVersion:  st.oldest,
		Avoid:       st.start.Avoid,
		Fingerprint: quarantine.FingerprintOf(string(r.parameters.Model), r.request.Prompt),
	})
}

// generate reads the answer of an engine.
func (st *stream) generate(server structs.BackendServer) error {
	s := st.run.service
	engine, wanted := s.clients.Platform().Engine, st.generation()
	err := engine.Generate(st.ctx, server.Address, wanted, func(chunk outside.Chunk) error {
		st.count(chunk)
		st.tell(chunked{attempt: st.start.Stream, chunk: group.Chunk(chunk)})
		return st.ctx.Err()
	})
	if st.whole {
		return nil
	}
	if st.ctx.Err() != nil {
		s.cancel(server.Address, wanted.ID)
	}
	return err
}

// count adds a chunk to what the balancer learns.
func (st *stream) count(chunk outside.Chunk) {
	st.whole = chunk.Last
	st.tokens += chunk.Tokens
	st.received += int64(len(chunk.Text))
	if chunk.Version != 0 {
		st.version = chunk.Version
	}
}

// cancel ends a stream on its engine, which may not have noticed that the
// connection is closed. Nobody waits for it: the engine may hang.
func (s *service) cancel(address, id string) {
	engine := s.clients.Platform().Engine
	s.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, address, id)
	})
}

func (st *stream) generation() outside.GenerateRequest {
	s, r := st.run.service, st.run
	self := s.zone.ZoneView().Load().Self
	return outside.GenerateRequest{
		ID:           fmt.Sprintf("%s-%d-%d", self.Host, self.Start, s.streams.Add(1)),
		Prompt:       r.request.Prompt,
		MaxTokens:    r.request.MaxTokens,
		Seed:         seedOf(r.request, st.start.SampleIndex),
		Priority:     r.request.Class,
		Prefix:       st.start.Prefix,
		PrefixTokens: st.start.PrefixTokens,
	}
}

// pause waits and reports whether ctx still goes on.
func (s *service) pause(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := s.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (st *stream) tell(happened event) { st.run.tell(st.ctx, happened) }
