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

// Sizes of a history.
const (
	operators      = 3
	readPause      = 10 * time.Millisecond
	readWait       = 100 * time.Millisecond
	applyWait      = 4 * time.Second
	faultPause     = 400 * time.Millisecond
	healWait       = 30 * time.Second
	checkWait      = 30 * time.Second
	defaultSamples = 64
	loseAnswers    = 0.05
)

var (
	firstSeed = flag.Uint64("histories.seed", 1, "first seed of the histories")
	seedCount = flag.Uint64("histories.count", 3, "count of seeds")
	logFolder = flag.String("histories.logs", "", "folder for the daemons' logs")
	faultSpan = flag.Duration("histories.span", 6*time.Second, "time with faults in each history")
)

// access is a read or a write of one workspace's parameter.
type access struct {
	workspace structs.WorkspaceName
	write     bool
	value     int
}

// register is the sequential model: a read returns the newest write. Values
// are written once, so that a revert can't pass for a write.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[structs.WorkspaceName][]porcupine.Operation)
		for _, operation := range history {
			name := operation.Input.(access).workspace
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
		if in := input.(access); in.write {
			return true, in.value
		}
		return output.(int) == state.(int), state
	},
}

// recorder gathers the history of a run.
type recorder struct {
	begun time.Time
	next  atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) now() int64 { return time.Since(r.begun).Nanoseconds() }

func (r *recorder) add(operation porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// run is one history under way.
type run struct {
	*cluster
	recorder
	ctx      context.Context
	accepted atomic.Int64
	refused  atomic.Int64
	unknown  atomic.Int64
}

// read reads a workspace's parameter on one host for as long as the run lasts.
// A refusal says nothing.
func (r *run) read(host structs.HostName, client int) {
	random := rand.New(rand.NewPCG(uint64(client), 2))
	for r.ctx.Err() == nil {
		time.Sleep(readPause)
		d := r.get(host)
		if d == nil {
			continue
		}
		workspace := structs.WorkspaceName(fmt.Sprintf("w%d", random.IntN(2)))
		ctx, cancel := context.WithTimeout(r.ctx, readWait)
		call := r.now()
		resolved, err := d.settings.DecidedParameters(ctx, workspace)
		cancel()
		if r.get(host) != d {
			continue // a killed daemon answers nobody
		}
		if err != nil {
			r.refused.Add(1)
			continue
		}
		r.add(porcupine.Operation{
			ClientId: client, Input: access{workspace: workspace}, Call: call, Output: resolved.StepSamples, Return: r.now(),
		})
	}
}

// operate applies changes one after another. One whose outcome is unknown is
// applied again under its id, at another daemon; if that doesn't settle it, it
// may take effect at any time up to the end.
func (r *run) operate(client int, random *rand.Rand) {
	for r.ctx.Err() == nil {
		value := defaultSamples + int(r.next.Add(1))
		workspace := structs.WorkspaceName(fmt.Sprintf("w%d", random.IntN(2)))
		change := setSamples(settings.ChangeID(fmt.Sprint(value)), workspace, value)
		operation := porcupine.Operation{ClientId: client, Input: access{workspace: workspace, write: true, value: value}, Call: r.now()}
		code := result.ChangeUnknown
		for try := 0; try < 3 && !settles(code, try); try++ {
			code = r.apply(change, random)
		}
		if !settles(code, 3) {
			code = result.ChangeUnknown
		}
		switch code {
		case result.OK:
			r.accepted.Add(1)
			operation.Return = r.now()
			r.add(operation)
		case result.ChangeUnknown:
			r.unknown.Add(1)
			operation.Return = int64(time.Hour)
			r.add(operation)
		}
	}
}

// settles reports whether a code tells what became of a change after a count
// of tries. Once a try has ended without an outcome, a later one that the store
// did not answer is true of that try alone, and the first may have been made.
func settles(code result.Code, tries int) bool {
	if code == result.ChangeUnknown {
		return false
	}
	return code != result.StoreUnavailable || tries <= 1
}

func (r *run) apply(change settings.Change, random *rand.Rand) result.Code {
	d := r.get(r.hosts[random.IntN(len(r.hosts))])
	if d == nil {
		time.Sleep(readPause)
		return result.ChangeUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyWait)
	defer cancel()
	_, err := d.operator.Apply(ctx, change)
	if err == nil {
		return result.OK
	}
	return result.CodeOf(err)
}

// fault switches one fault on and, after a while, off again.
func (r *run) fault(random *rand.Rand) {
	host := r.hosts[random.IntN(len(r.hosts))]
	span := time.Duration(random.IntN(900)+100) * time.Millisecond
	if random.IntN(2) == 0 {
		if collector := r.collector(r.zones[host]); collector != "" {
			host = collector
		}
	}
	switch random.IntN(5) {
	case 0:
		r.kill(host)
		time.Sleep(span)
		r.start(host)
	case 1, 2:
		r.network.set(r.network.cutStore, host, true)
		time.Sleep(span)
		r.network.set(r.network.cutStore, host, false)
	case 3:
		r.cutZone(r.zones[host], true)
		time.Sleep(span)
		r.cutZone(r.zones[host], false)
	case 4:
		r.network.store.SetFaults(store.Faults{Down: true})
		time.Sleep(span)
		r.network.store.SetFaults(store.Faults{LoseAnswers: loseAnswers})
	}
}

func (r *run) cutZone(zone structs.ZoneName, cut bool) {
	for _, host := range r.hosts {
		if r.zones[host] == zone {
			r.network.set(r.network.cutStore, host, cut)
		}
	}
}

// TestSettings_neverRevert runs three zones with seven daemons under kills,
// cuts, outages, lost answers and racing operators. No read may see anything
// but the newest accepted value.
func TestSettings_neverRevert(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed)
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{cluster: newCluster(t, seed, defaultLease(), 3, 2, 2), ctx: ctx}
	r.begun = time.Now()
	t.Logf("begun at %s", r.begun.Format("05.000"))
	r.network.store.SetFaults(store.Faults{LoseAnswers: loseAnswers})
	var group sync.WaitGroup
	for i, host := range r.hosts {
		group.Go(func() { r.read(host, i) })
	}
	for i := range operators {
		group.Go(func() { r.operate(len(r.hosts)+i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	random := rand.New(rand.NewPCG(seed, operators))
	for time.Since(r.begun) < *faultSpan {
		time.Sleep(time.Duration(random.Int64N(int64(faultPause))))
		r.fault(random)
	}
	before := r.accepted.Load()
	for end := time.Now().Add(healWait); r.accepted.Load() == before && time.Now().Before(end); {
		time.Sleep(readPause)
	}
	cancel()
	group.Wait()
	t.Logf("%d operations, %d accepted, %d unknown, %d reads refused", len(r.operations), r.accepted.Load(), r.unknown.Load(), r.refused.Load())
	must.Greater(t, before, r.accepted.Load(), must.Sprint("no change was accepted after the faults"))
	verdict := porcupine.CheckOperationsTimeout(register, r.operations, checkWait)
	if verdict != porcupine.Ok {
		r.logReverts(t)
	}
	must.Eq(t, porcupine.Ok, verdict)
}

// logReverts prints the reads of a value that no accepted change wrote, and
// those that began after a later write of the same workspace had ended.
func (r *run) logReverts(t *testing.T) {
	writes := make(map[int]porcupine.Operation)
	for _, operation := range r.operations {
		if in := operation.Input.(access); in.write {
			writes[in.value] = operation
		}
	}
	for _, read := range r.operations {
		if read.Input.(access).write || read.Output == defaultSamples {
			continue
		}
		wrote, known := writes[read.Output.(int)]
		if !known {
			t.Logf("%+v: the change was refused", read)
			continue
		}
		for _, between := range r.operations {
			if between.Input.(access) == read.Input.(access) && between.Output != read.Output && between.Return < read.Call {
				for _, first := range r.operations {
					if first.Input.(access) == read.Input.(access) && first.Output == read.Output && first.Return < between.Call {
						t.Logf("%+v and %+v: between them %+v; written by %+v", first, read, between, wrote)
						break
					}
				}
			}
		}
		for _, later := range writes {
			if later.Input.(access).workspace == read.Input.(access).workspace && wrote.Return < later.Call && later.Return < read.Call {
				t.Logf("%+v: written by %+v, overwritten by %+v", read, wrote, later)
			}
		}
	}
}
