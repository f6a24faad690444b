package histories

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/store"
)

// Numbers, intervals and timeouts of a history.
const (
	operatorCount    = 3
	readInterval     = 10 * time.Millisecond
	readTimeout      = 100 * time.Millisecond
	applyTimeout     = 4 * time.Second
	maxFaultInterval = 400 * time.Millisecond
	recoveryTimeout  = 30 * time.Second
	checkTimeout     = 30 * time.Second
	defaultSamples   = 64
	responseLossRate = 0.05
)

var (
	firstSeed     = flag.Uint64("histories.seed", 1, "first seed of the histories")
	seedCount     = flag.Uint64("histories.count", 3, "number of seeds")
	logFolder     = flag.String("histories.logs", "", "directory for the logs of the daemons")
	faultDuration = flag.Duration("histories.span", 6*time.Second, "duration of the faults in each history")
)

// registerAccess is a read or a write of StepSamples of one workspace.
type registerAccess struct {
	workspace structs.WorkspaceName
	write     bool
	value     int
}

// register is the sequential model: a read returns the latest write. Each value is
// written at most once, so that a reverted value is not mistaken for a new write.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[structs.WorkspaceName][]porcupine.Operation)
		for _, operation := range history {
			name := operation.Input.(registerAccess).workspace
			parts[name] = append(parts[name], operation)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return defaultSamples },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(registerAccess); in.write {
			return true, in.value
		}
		return output.(int) == state.(int), state
	},
}

// recorder collects the operations of a history.
type recorder struct {
	startTime    time.Time
	valueCounter atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

// elapsed returns the nanoseconds since the start of the history.
func (r *recorder) elapsed() int64 { return time.Since(r.startTime).Nanoseconds() }

func (r *recorder) add(operation porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// historyRun is the execution of one history.
type historyRun struct {
	*cluster
	recorder
	ctx      context.Context
	accepted atomic.Int64
	refused  atomic.Int64
	unknown  atomic.Int64
}

// readLoop reads the parameter of random workspaces on one host until the context
// is cancelled. Refused reads are counted and leave no operation in the history.
func (r *historyRun) readLoop(host structs.HostName, client int) {
	random := rand.New(rand.NewPCG(uint64(client), 2))
	for r.ctx.Err() == nil {
		time.Sleep(readInterval)
		d := r.daemonOn(host)
		if d == nil {
			continue
		}
		workspace := structs.WorkspaceName(fmt.Sprintf("w%d", random.IntN(2)))
		ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
		call := r.elapsed()
		resolved, err := d.settings.DecidedParameters(ctx, workspace)
		cancel()
		if r.daemonOn(host) != d {
			continue // Results of a killed daemon reach no caller.
		}
		if err != nil {
			r.refused.Add(1)
			continue
		}
		r.add(porcupine.Operation{
			ClientId: client, Input: registerAccess{workspace: workspace}, Call: call, Output: resolved.StepSamples, Return: r.elapsed(),
		})
	}
}

// applyLoop applies changes one after another. A change with an unknown outcome is
// retried under the same ID at random daemons. If its outcome stays unknown, the
// write may take effect at any time, so its operation stays open to the end of the
// history.
func (r *historyRun) applyLoop(client int, random *rand.Rand) {
	for r.ctx.Err() == nil {
		value := defaultSamples + int(r.valueCounter.Add(1))
		workspace := structs.WorkspaceName(fmt.Sprintf("w%d", random.IntN(2)))
		change := stepSamplesChange(settings.ChangeID(fmt.Sprint(value)), workspace, value)
		operation := porcupine.Operation{ClientId: client, Input: registerAccess{workspace: workspace, write: true, value: value}, Call: r.elapsed()}
		code := result.ChangeUnknown
		for attempt := 0; attempt < 3 && !isDecided(code, attempt); attempt++ {
			code = r.applyOnce(change, random)
		}
		if !isDecided(code, 3) {
			code = result.ChangeUnknown
		}
		switch code {
		case result.OK:
			r.accepted.Add(1)
			operation.Return = r.elapsed()
			r.add(operation)
		case result.ChangeUnknown:
			r.unknown.Add(1)
			operation.Return = int64(time.Hour)
			r.add(operation)
		}
	}
}

// isDecided reports whether the code of the latest attempt is the outcome of the
// change. After more than one attempt, StoreUnavailable describes the latest
// attempt only: an earlier one may have taken effect.
func isDecided(code result.Code, attempts int) bool {
	if code == result.ChangeUnknown {
		return false
	}
	return code != result.StoreUnavailable || attempts <= 1
}

// applyOnce applies a change at a random daemon.
func (r *historyRun) applyOnce(change settings.Change, random *rand.Rand) result.Code {
	d := r.daemonOn(r.hosts[random.IntN(len(r.hosts))])
	if d == nil {
		time.Sleep(readInterval)
		return result.ChangeUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	_, err := d.operator.Apply(ctx, change)
	if err == nil {
		return result.OK
	}
	return result.CodeOf(err)
}

// injectFault enables one random fault for up to a second.
func (r *historyRun) injectFault(random *rand.Rand) {
	host := r.hosts[random.IntN(len(r.hosts))]
	duration := time.Duration(random.IntN(900)+100) * time.Millisecond
	if random.IntN(2) == 0 {
		if collector := r.collector(r.zones[host]); collector != "" {
			host = collector
		}
	}
	switch random.IntN(5) {
	case 0:
		r.kill(host)
		time.Sleep(duration)
		r.start(host)
	case 1, 2:
		r.network.setCut(r.network.storeCutHosts, host, true)
		time.Sleep(duration)
		r.network.setCut(r.network.storeCutHosts, host, false)
	case 3:
		r.setZoneCut(r.zones[host], true)
		time.Sleep(duration)
		r.setZoneCut(r.zones[host], false)
	case 4:
		r.network.store.SetFaults(store.Faults{Down: true})
		time.Sleep(duration)
		r.network.store.SetFaults(store.Faults{LoseAnswers: responseLossRate})
	}
}

// setZoneCut cuts or restores the links to the store of all hosts of a zone.
func (r *historyRun) setZoneCut(zone structs.ZoneName, cut bool) {
	for _, host := range r.hosts {
		if r.zones[host] == zone {
			r.network.setCut(r.network.storeCutHosts, host, cut)
		}
	}
}

// TestSettings_NoRevert runs seven daemons in three zones with kills, cut links,
// store outages, lost responses and concurrent operators. The history must be
// linearizable: a read returns the latest accepted value and no older one.
func TestSettings_NoRevert(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed)
		})
	}
}

// checkHistory executes the history of a seed and checks that it is linearizable.
func checkHistory(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &historyRun{cluster: newCluster(t, seed, defaultLease(), 3, 2, 2), ctx: ctx}
	r.startTime = time.Now()
	t.Logf("started at %s", r.startTime.Format("05.000"))
	r.network.store.SetFaults(store.Faults{LoseAnswers: responseLossRate})
	var group sync.WaitGroup
	for i, host := range r.hosts {
		group.Go(func() { r.readLoop(host, i) })
	}
	for i := range operatorCount {
		group.Go(func() { r.applyLoop(len(r.hosts)+i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	random := rand.New(rand.NewPCG(seed, operatorCount))
	for time.Since(r.startTime) < *faultDuration {
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultInterval))))
		r.injectFault(random)
	}
	acceptedBefore := r.accepted.Load()
	for deadline := time.Now().Add(recoveryTimeout); r.accepted.Load() == acceptedBefore && time.Now().Before(deadline); {
		time.Sleep(readInterval)
	}
	cancel()
	group.Wait()
	t.Logf("%d operations, %d changes accepted, %d with an unknown outcome, %d reads refused", len(r.operations), r.accepted.Load(), r.unknown.Load(), r.refused.Load())
	must.Greater(t, acceptedBefore, r.accepted.Load(), must.Sprint("no change was accepted after the faults"))
	checkResult := porcupine.CheckOperationsTimeout(register, r.operations, checkTimeout)
	if checkResult != porcupine.Ok {
		r.logReverts(t)
	}
	must.Eq(t, porcupine.Ok, checkResult)
}

// logReverts logs the reads that violate the model: reads of a value that only a
// refused change wrote, reads that returned an earlier value again after another
// value had been read, and reads that began after a later write of the same
// workspace had ended.
func (r *historyRun) logReverts(t *testing.T) {
	writes := make(map[int]porcupine.Operation)
	for _, operation := range r.operations {
		if in := operation.Input.(registerAccess); in.write {
			writes[in.value] = operation
		}
	}
	for _, read := range r.operations {
		if read.Input.(registerAccess).write || read.Output == defaultSamples {
			continue
		}
		origin, isKnown := writes[read.Output.(int)]
		if !isKnown {
			t.Logf("%+v: the change that wrote this value was refused", read)
			continue
		}
		for _, interveningRead := range r.operations {
			if interveningRead.Input.(registerAccess) == read.Input.(registerAccess) && interveningRead.Output != read.Output && interveningRead.Return < read.Call {
				for _, earlierRead := range r.operations {
					if earlierRead.Input.(registerAccess) == read.Input.(registerAccess) && earlierRead.Output == read.Output && earlierRead.Return < interveningRead.Call {
						t.Logf("%+v and %+v: intervening read %+v; written by %+v", earlierRead, read, interveningRead, origin)
						break
					}
				}
			}
		}
		for _, laterWrite := range writes {
			if laterWrite.Input.(registerAccess).workspace == read.Input.(registerAccess).workspace && origin.Return < laterWrite.Call && laterWrite.Return < read.Call {
				t.Logf("%+v: written by %+v, overwritten by %+v", read, origin, laterWrite)
			}
		}
	}
}
