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

// cancelTimeout is the timeout of the call that cancels a stream on its engine.
const cancelTimeout = time.Second

// stream is one request to an engine for a sample or the rest of one. It runs on its
// own goroutine.
type stream struct {
	task  *groupTask
	ctx   context.Context
	start group.StreamStart
	// minWeightVersion is the lowest weight version that the engine may have.
	minWeightVersion structs.WeightVersion
	// complete is set when the last chunk has arrived.
	complete bool
	// tokens and receivedBytes count what the engine has sent. lastVersion is the
	// weight version of the newest chunk that names one.
	tokens        int
	receivedBytes int64
	lastVersion   structs.WeightVersion
}

// errCanceled is the outcome of a request that this daemon canceled. The balancer
// takes it neither as a failure nor as a success of the server.
var errCanceled = result.Wrap(result.OutcomeUnknown, context.Canceled)

// streamPlaced is the event that a stream was assigned to a server.
type streamPlaced struct {
	stream group.StreamID
	server structs.HostName
}

func (e streamPlaced) apply(t *groupTask) {
	t.group.HandlePlacement(t.service.clock.Now(), e.stream, e.server)
}

// chunkReceived is the event that an engine sent a chunk.
type chunkReceived struct {
	stream group.StreamID
	chunk  group.Chunk
}

func (e chunkReceived) apply(t *groupTask) {
	t.applyEffects(t.group.HandleChunk(t.service.clock.Now(), e.stream, e.chunk))
}

// streamFailed is the event that a stream ended before its last chunk.
type streamFailed struct {
	stream group.StreamID
	server structs.HostName
	err    error
}

func (e streamFailed) apply(t *groupTask) {
	t.service.log.WithError(e.err).Debugf("Stream of group %s on %q failed.", t.request.Group, e.server)
	t.applyEffects(t.group.HandleStreamFailure(t.service.clock.Now(), e.stream, e.server, result.CodeOf(e.err)))
}

// execute waits for the stream's delay, picks a server and reads its chunks.
func (st *stream) execute() {
	if !st.task.service.sleep(st.ctx, st.start.Delay) {
		return
	}
	ticket, err := st.pickServer()
	if err != nil {
		st.send(streamFailed{stream: st.start.Stream, err: err})
		return
	}
	st.send(streamPlaced{stream: st.start.Stream, server: ticket.Server.Name})
	clock := st.task.service.clock
	started := clock.Now()
	err = st.generate(ticket.Server)
	ticket.Finish(st.outcome(err, clock.Since(started)))
	if err != nil && st.ctx.Err() == nil {
		st.send(streamFailed{stream: st.start.Stream, server: ticket.Server.Name, err: err})
	}
}

// outcome returns the outcome of the stream to report to the balancer.
func (st *stream) outcome(err error, latency time.Duration) contract.TicketOutcome {
	if err != nil && st.ctx.Err() != nil {
		err = errCanceled
	}
	return contract.TicketOutcome{
		Err:     err,
		Latency: latency,
		Units:   st.tokens,
		Bytes:   int64(len(st.task.request.Prompt)+len(st.start.Prefix)) + st.receivedBytes,
		Version: st.lastVersion,
	}
}

func (st *stream) pickServer() (contract.Ticket, error) {
	t := st.task
	return t.service.balancer.Pick(st.ctx, contract.PickRequest{
		Service:     t.parameters.Model,
		Workspace:   t.request.Workspace,
		Class:       t.request.Class,
		Deadline:    t.deadline,
		Affinity:    promptAffinity(t.request.Prompt),
		MinVersion:  st.minWeightVersion,
		Avoid:       st.start.Avoid,
		Fingerprint: quarantine.FingerprintOf(string(t.parameters.Model), t.request.Prompt),
	})
}

// generate requests the stream from an engine, reads its chunks and sends them as
// events.
func (st *stream) generate(server structs.BackendServer) error {
	s := st.task.service
	engine, request := s.clients.Platform().Engine, st.generateRequest()
	err := engine.Generate(st.ctx, server.Address, request, func(chunk outside.Chunk) error {
		st.recordChunk(chunk)
		st.send(chunkReceived{stream: st.start.Stream, chunk: group.Chunk(chunk)})
		return st.ctx.Err()
	})
	if st.complete {
		return nil
	}
	if st.ctx.Err() != nil {
		s.cancelOnEngine(server.Address, request.ID)
	}
	return err
}

// recordChunk updates the counts that outcome reports.
func (st *stream) recordChunk(chunk outside.Chunk) {
	st.complete = chunk.Last
	st.tokens += chunk.Tokens
	st.receivedBytes += int64(len(chunk.Text))
	if chunk.Version != 0 {
		st.lastVersion = chunk.Version
	}
}

// cancelOnEngine cancels a stream on its engine, which may not have detected that the
// connection is closed. It runs in the background because the engine may hang.
func (s *service) cancelOnEngine(address, id string) {
	engine := s.clients.Platform().Engine
	s.workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, address, id)
	})
}

func (st *stream) generateRequest() outside.GenerateRequest {
	s, t := st.task.service, st.task
	self := s.zone.ZoneView().Load().Self
	return outside.GenerateRequest{
		ID:           fmt.Sprintf("%s-%d-%d", self.Host, self.Start, s.streamCounter.Add(1)),
		Prompt:       t.request.Prompt,
		MaxTokens:    t.request.MaxTokens,
		Seed:         sampleSeed(t.request, st.start.SampleIndex),
		Priority:     t.request.Class,
		Prefix:       st.start.Prefix,
		PrefixTokens: st.start.PrefixTokens,
	}
}

// sleep waits for a delay or until ctx ends. It reports whether ctx has not ended.
func (s *service) sleep(ctx context.Context, delay time.Duration) bool {
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

func (st *stream) send(sent event) { st.task.send(st.ctx, sent) }
