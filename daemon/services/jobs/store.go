package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

// Prefixes of the store's keys that hold batch jobs.
const (
	ownPrefix   = "flamingobeam/job/owner/"
	specPrefix  = "flamingobeam/job/spec/"
	logPrefix   = "flamingobeam/job/log/"
	chunkPrefix = "flamingobeam/job/chunk/"
)

const (
	// maxSource bounds a submitted body that is kept, in bytes: the store
	// holds values of up to 1 MiB.
	maxSource = 700 << 10
	// maxChunk bounds the results written at once, in bytes.
	maxChunk = 500 << 10
	// maxCached bounds the chunks kept for reads of other daemons' jobs.
	maxCached = 8 << 20
	// readsAtOnce bounds the chunks of a job that are read at a time.
	readsAtOnce = 16
	// maxJobs bounds the submitted jobs kept for reads of bodies.
	maxJobs = 32
)

// errGone means that the store holds no job of an ID.
var errGone = errors.New("jobs: no such batch job")

func ownKey(id string) string  { return ownPrefix + url.PathEscape(id) }
func specKey(id string) string { return specPrefix + url.PathEscape(id) }
func logKey(id string) string  { return logPrefix + url.PathEscape(id) }
func chunkKey(id string, number int) string {
	return fmt.Sprintf("%s%s/%05d", chunkPrefix, url.PathEscape(id), number)
}

// ownRecord and logRecord are values of the store with their revisions.
type ownRecord struct {
	batch.Ownership
	revision outside.Revision
}

type logRecord struct {
	batch.Log
	revision outside.Revision
}

// spec is what was submitted.
type spec struct {
	Host   string          `json:"host"`
	Path   string          `json:"path"`
	Source json.RawMessage `json:"source"`
}

// kept is all that the store holds of a job.
type kept struct {
	job     *batch.Job
	own     ownRecord
	log     logRecord
	results []batch.Result
	// read is when the store was asked who owns the job, by the clock that
	// goes on in suspension.
	read time.Duration
}

// keeper reads and writes batch jobs in the store.
type keeper struct {
	ledger contract.TransactionalStore

	mu     sync.Mutex
	chunks map[string][]batch.Result
	order  []string
	sizes  map[string]int
	size   int
	jobs   map[string]*batch.Job
}

func newKeeper(ledger contract.TransactionalStore) *keeper {
	return &keeper{ledger: ledger, chunks: make(map[string][]batch.Result), sizes: make(map[string]int), jobs: make(map[string]*batch.Job)}
}

func decode(record outside.Record, into any) error {
	if err := json.Unmarshal(record.Value, into); err != nil {
		return errors.Wrapf(err, "jobs: %s", record.Key)
	}
	return nil
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		// Every type that is kept here can be encoded.
		panic(err)
	}
	return text
}

// read reads a key; errGone when there is none.
func (k *keeper) read(ctx context.Context, key string, into any) (outside.Revision, error) {
	record, err := k.ledger.Get(ctx, key)
	if errors.Is(err, outside.ErrNotFound) {
		return 0, errGone
	}
	if err != nil {
		return 0, err
	}
	return record.Revision, decode(record, into)
}

func (k *keeper) owner(ctx context.Context, id string) (ownRecord, error) {
	var own ownRecord
	var err error
	own.revision, err = k.read(ctx, ownKey(id), &own.Ownership)
	return own, err
}

func (k *keeper) logOf(ctx context.Context, id string) (logRecord, error) {
	var log logRecord
	var err error
	log.revision, err = k.read(ctx, logKey(id), &log.Log)
	return log, err
}

// job reads what was submitted.
func (k *keeper) job(ctx context.Context, id string) (*batch.Job, error) {
	var submitted spec
	if _, err := k.read(ctx, specKey(id), &submitted); err != nil {
		return nil, err
	}
	return platform.DecodeJob(id, submitted.Host, submitted.Path, submitted.Source)
}

// jobCached is job through a cache: what was submitted never changes.
func (k *keeper) jobCached(ctx context.Context, id string) (*batch.Job, error) {
	k.mu.Lock()
	cached, ok := k.jobs[id]
	k.mu.Unlock()
	if ok {
		return cached, nil
	}
	job, err := k.job(ctx, id)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.jobs) >= maxJobs {
		clear(k.jobs)
	}
	k.jobs[id] = job
	return job, nil
}

// results reads the results that a log names, from a chunk on.
func (k *keeper) results(ctx context.Context, id string, log batch.Log, from int) ([]batch.Result, error) {
	if from >= len(log.Chunks) {
		return nil, nil
	}
	chunks := make([][]batch.Result, len(log.Chunks)-from)
	group := pool.New().WithErrors().WithMaxGoroutines(readsAtOnce)
	for i := range chunks {
		group.Go(func() (err error) {
			chunks[i], err = k.chunk(ctx, chunkKey(id, from+i))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(chunks...), nil
}

// chunk reads a chunk, which never changes, through a cache.
func (k *keeper) chunk(ctx context.Context, key string) ([]batch.Result, error) {
	k.mu.Lock()
	cached, ok := k.chunks[key]
	k.mu.Unlock()
	if ok {
		return cached, nil
	}
	record, err := k.ledger.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var results []batch.Result
	if err := decode(record, &results); err != nil {
		return nil, err
	}
	k.cache(key, results, len(record.Value))
	return results, nil
}

func (k *keeper) cache(key string, results []batch.Result, size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.chunks[key]; known {
		return
	}
	k.chunks[key], k.sizes[key] = results, size
	k.order = append(k.order, key)
	k.size += size
	for k.size > maxCached && len(k.order) > 1 {
		oldest := k.order[0]
		k.order = k.order[1:]
		k.size -= k.sizes[oldest]
		delete(k.chunks, oldest)
		delete(k.sizes, oldest)
	}
}

// whole reads all that the store holds of a job.
func (k *keeper) whole(ctx context.Context, id string) (kept, error) {
	all := kept{read: boottime.Now()}
	group := pool.New().WithErrors().WithFirstError()
	group.Go(func() (err error) {
		all.own, err = k.owner(ctx, id)
		return err
	})
	group.Go(func() (err error) {
		all.job, err = k.jobCached(ctx, id)
		return err
	})
	group.Go(func() (err error) {
		if all.log, err = k.logOf(ctx, id); err == nil {
			all.results, err = k.results(ctx, id, all.log.Log, 0)
		}
		return err
	})
	return all, group.Wait()
}

// create writes a new job. ErrConflict means that there is one already.
func (k *keeper) create(ctx context.Context, job *batch.Job, source []byte, own batch.Ownership) (kept, error) {
	log, begun := batch.Log{Epoch: own.Epoch, ItemCount: len(job.Items)}, boottime.Now()
	revision, err := k.ledger.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: ownKey(job.ID)}},
		Writes: []outside.Write{
			{Key: ownKey(job.ID), Value: encode(own)},
			{Key: specKey(job.ID), Value: encode(spec{Host: job.Host, Path: job.Path, Source: source})},
			{Key: logKey(job.ID), Value: encode(log)},
		},
	})
	return kept{
		job: job, own: ownRecord{Ownership: own, revision: revision}, log: logRecord{Log: log, revision: revision},
		read: begun,
	}, err
}

// swapOwner replaces the ownership record of a job, under further conditions.
func (k *keeper) swapOwner(ctx context.Context, id string, old ownRecord, next batch.Ownership, further ...outside.Condition) (ownRecord, error) {
	revision, err := k.ledger.Commit(ctx, outside.Transaction{
		Conditions: append(further, outside.Condition{Key: ownKey(id), Revision: old.revision}),
		Writes:     []outside.Write{{Key: ownKey(id), Value: encode(next)}},
	})
	return ownRecord{Ownership: next, revision: revision}, err
}

// add appends a chunk to a job's log, while its owner is the one that is given.
func (k *keeper) add(ctx context.Context, id string, own ownRecord, log logRecord, results []batch.Result) (logRecord, error) {
	next := log.WithChunk(own.Epoch, len(results))
	value := encode(results)
	key := chunkKey(id, len(log.Chunks))
	revision, err := k.ledger.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{
			{Key: ownKey(id), Revision: own.revision},
			{Key: logKey(id), Revision: log.revision},
		},
		Writes: []outside.Write{{Key: logKey(id), Value: encode(next)}, {Key: key, Value: value}},
	})
	return logRecord{Log: next, revision: revision}, err
}

// remove deletes a job whose results need no longer be kept.
func (k *keeper) remove(ctx context.Context, id string, own ownRecord, log batch.Log) error {
	removals := []string{ownKey(id), specKey(id), logKey(id)}
	for number := range log.Chunks {
		removals = append(removals, chunkKey(id, number))
	}
	listing, err := k.ledger.List(ctx, textPrefix+url.PathEscape(id)+"/")
	if err != nil {
		return err
	}
	for _, record := range listing.Records {
		removals = append(removals, record.Key)
	}
	const atOnce = 24
	for len(removals) > atOnce {
		last := removals[len(removals)-atOnce:]
		if _, err := k.ledger.Commit(ctx, outside.Transaction{Removals: last}); err != nil {
			return err
		}
		removals = removals[:len(removals)-atOnce]
	}
	_, err = k.ledger.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: ownKey(id), Revision: own.revision}}, Removals: removals,
	})
	return err
}
