package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

// Prefixes of the keys that hold batch jobs in the store.
const (
	ownerPrefix = "flamingobeam/job/owner/"
	specPrefix  = "flamingobeam/job/spec/"
	logPrefix   = "flamingobeam/job/log/"
	chunkPrefix = "flamingobeam/job/chunk/"
)

const (
	// maxChunkBytes bounds the results in one write.
	maxChunkBytes = 500 << 10
	// maxCachedBytes bounds the cached chunks, which serve reads of other
	// daemons' jobs.
	maxCachedBytes = 8 << 20
	// maxConcurrentReads bounds the concurrent reads of a job's chunks.
	maxConcurrentReads = 16
	// maxCachedJobs bounds the cached jobs, which serve reads of item bodies.
	maxCachedJobs = 32
)

// errNotFound means that the store holds no job with the given ID.
var errNotFound = errors.New("jobs: batch job not found")

func ownerKey(id string) string { return ownerPrefix + url.PathEscape(id) }
func specKey(id string) string  { return specPrefix + url.PathEscape(id) }
func logKey(id string) string   { return logPrefix + url.PathEscape(id) }
func chunkKey(id string, number int) string {
	return fmt.Sprintf("%s%s/%05d", chunkPrefix, url.PathEscape(id), number)
}

// ownershipRecord and logRecord are values of the store with their revisions.
type ownershipRecord struct {
	batch.Ownership
	revision outside.Revision
}

type logRecord struct {
	batch.Log
	revision outside.Revision
}

// jobSpec is a job as it was submitted.
type jobSpec struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Workspace submitted the job. Releases before keys of workspaces leave it out.
	Workspace structs.WorkspaceName `json:"workspace,omitempty"`
	Source    json.RawMessage       `json:"source"`
}

// storedJob is the stored state of a job.
type storedJob struct {
	job       *batch.Job
	ownership ownershipRecord
	log       logRecord
	results   []batch.Result
	// readAt is when the read of the ownership record began, by a clock that
	// includes suspension.
	readAt time.Duration
}

// jobStore reads and writes batch jobs in the store. It may be used by any
// goroutine.
type jobStore struct {
	store contract.TransactionalStore

	mu          sync.Mutex
	chunks      map[string][]batch.Result
	chunkOrder  []string
	chunkSizes  map[string]int
	cachedBytes int
	jobs        map[string]*batch.Job
}

func newJobStore(store contract.TransactionalStore) *jobStore {
	return &jobStore{store: store, chunks: make(map[string][]batch.Result), chunkSizes: make(map[string]int), jobs: make(map[string]*batch.Job)}
}

func decode(record outside.Record, into any) error {
	if err := json.Unmarshal(record.Value, into); err != nil {
		return errors.Wrapf(err, "jobs: decode %s", record.Key)
	}
	return nil
}

// encode returns a value in JSON. It leaves out the escapes that only HTML needs, because
// each takes six bytes in place of one.
func encode(value any) []byte {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		// All types that are stored here can be encoded.
		panic(err)
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n"))
}

// encodedLen returns an upper bound of the bytes that encode needs for a string.
func encodedLen(text string) int {
	const escapeLen = 6
	size := 0
	for i := 0; i < len(text); {
		r, width := utf8.DecodeRuneInString(text[i:])
		i += width
		switch {
		case r == '"' || r == '\\':
			size += 2
		case r < ' ' || r == '\u007f' || r == utf8.RuneError || r == '\u2028' || r == '\u2029':
			size += escapeLen
		default:
			size += width
		}
	}
	return size
}

// readKey reads and decodes a key. It returns errNotFound if there is none.
func (js *jobStore) readKey(ctx context.Context, key string, into any) (outside.Revision, error) {
	record, err := js.store.Get(ctx, key)
	if errors.Is(err, outside.ErrNotFound) {
		return 0, errNotFound
	}
	if err != nil {
		return 0, err
	}
	return record.Revision, decode(record, into)
}

func (js *jobStore) readOwnership(ctx context.Context, id string) (ownershipRecord, error) {
	var ownership ownershipRecord
	var err error
	ownership.revision, err = js.readKey(ctx, ownerKey(id), &ownership.Ownership)
	return ownership, err
}

func (js *jobStore) readLog(ctx context.Context, id string) (logRecord, error) {
	var log logRecord
	var err error
	log.revision, err = js.readKey(ctx, logKey(id), &log.Log)
	return log, err
}

// readJob reads a job as it was submitted.
func (js *jobStore) readJob(ctx context.Context, id string) (*batch.Job, error) {
	var submitted jobSpec
	if _, err := js.readKey(ctx, specKey(id), &submitted); err != nil {
		return nil, err
	}
	job, err := platform.DecodeJob(id, submitted.Host, submitted.Path, submitted.Source)
	if err == nil {
		job.Workspace = submitted.Workspace
	}
	return job, err
}

// readJobCached is readJob with a cache, as a submitted job never changes.
func (js *jobStore) readJobCached(ctx context.Context, id string) (*batch.Job, error) {
	js.mu.Lock()
	cached, ok := js.jobs[id]
	js.mu.Unlock()
	if ok {
		return cached, nil
	}
	job, err := js.readJob(ctx, id)
	if err != nil {
		return nil, err
	}
	js.mu.Lock()
	defer js.mu.Unlock()
	if len(js.jobs) >= maxCachedJobs {
		clear(js.jobs)
	}
	js.jobs[id] = job
	return job, nil
}

// readResults reads the results of the chunks in a log, beginning with chunk
// from.
func (js *jobStore) readResults(ctx context.Context, id string, log batch.Log, from int) ([]batch.Result, error) {
	if from >= len(log.Chunks) {
		return nil, nil
	}
	chunks := make([][]batch.Result, len(log.Chunks)-from)
	group := pool.New().WithErrors().WithMaxGoroutines(maxConcurrentReads)
	for i := range chunks {
		group.Go(func() (err error) {
			chunks[i], err = js.readChunk(ctx, chunkKey(id, from+i))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return slices.Concat(chunks...), nil
}

// readChunk reads a chunk through a cache, as chunks never change.
func (js *jobStore) readChunk(ctx context.Context, key string) ([]batch.Result, error) {
	js.mu.Lock()
	cached, ok := js.chunks[key]
	js.mu.Unlock()
	if ok {
		return cached, nil
	}
	record, err := js.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var results []batch.Result
	if err := decode(record, &results); err != nil {
		return nil, err
	}
	js.cacheChunk(key, results, len(record.Value))
	return results, nil
}

func (js *jobStore) cacheChunk(key string, results []batch.Result, size int) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if _, known := js.chunks[key]; known {
		return
	}
	js.chunks[key], js.chunkSizes[key] = results, size
	js.chunkOrder = append(js.chunkOrder, key)
	js.cachedBytes += size
	for js.cachedBytes > maxCachedBytes && len(js.chunkOrder) > 1 {
		oldest := js.chunkOrder[0]
		js.chunkOrder = js.chunkOrder[1:]
		js.cachedBytes -= js.chunkSizes[oldest]
		delete(js.chunks, oldest)
		delete(js.chunkSizes, oldest)
	}
}

// readStoredJob reads the stored state of a job.
func (js *jobStore) readStoredJob(ctx context.Context, id string) (storedJob, error) {
	stored := storedJob{readAt: boottime.Now()}
	group := pool.New().WithErrors().WithFirstError()
	group.Go(func() (err error) {
		stored.ownership, err = js.readOwnership(ctx, id)
		return err
	})
	group.Go(func() (err error) {
		stored.job, err = js.readJobCached(ctx, id)
		return err
	})
	group.Go(func() (err error) {
		if stored.log, err = js.readLog(ctx, id); err == nil {
			stored.results, err = js.readResults(ctx, id, stored.log.Log, 0)
		}
		return err
	})
	if err := group.Wait(); err != nil {
		return stored, err
	}
	stored.ownership.Workspace = stored.job.Workspace
	return stored, nil
}

// create writes a new job. It returns outside.ErrConflict if the job exists.
func (js *jobStore) create(ctx context.Context, job *batch.Job, source []byte, ownership batch.Ownership) (storedJob, error) {
	log, startedAt := batch.Log{Epoch: ownership.Epoch, ItemCount: len(job.Items)}, boottime.Now()
	revision, err := js.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: ownerKey(job.ID)}},
		Writes: []outside.Write{
			{Key: ownerKey(job.ID), Value: encode(ownership)},
			{Key: specKey(job.ID), Value: encode(jobSpec{Host: job.Host, Path: job.Path, Workspace: job.Workspace, Source: source})},
			{Key: logKey(job.ID), Value: encode(log)},
		},
	})
	return storedJob{
		job: job, ownership: ownershipRecord{Ownership: ownership, revision: revision}, log: logRecord{Log: log, revision: revision},
		readAt: startedAt,
	}, err
}

// swapOwnership replaces the ownership record of a job if it has not changed
// and the extra conditions hold.
func (js *jobStore) swapOwnership(ctx context.Context, id string, old ownershipRecord, next batch.Ownership, extra ...outside.Condition) (ownershipRecord, error) {
	revision, err := js.store.Commit(ctx, outside.Transaction{
		Conditions: append(extra, outside.Condition{Key: ownerKey(id), Revision: old.revision}),
		Writes:     []outside.Write{{Key: ownerKey(id), Value: encode(next)}},
	})
	return ownershipRecord{Ownership: next, revision: revision}, err
}

// appendChunk appends a chunk to a job's log if neither its ownership record
// nor its log has changed.
func (js *jobStore) appendChunk(ctx context.Context, id string, ownership ownershipRecord, log logRecord, results []batch.Result) (logRecord, error) {
	next := log.WithChunk(ownership.Epoch, len(results))
	encoded := encode(results)
	key := chunkKey(id, len(log.Chunks))
	revision, err := js.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{
			{Key: ownerKey(id), Revision: ownership.revision},
			{Key: logKey(id), Revision: log.revision},
		},
		Writes: []outside.Write{{Key: logKey(id), Value: encode(next)}, {Key: key, Value: encoded}},
	})
	return logRecord{Log: next, revision: revision}, err
}

// remove deletes a job whose results need no longer be kept. The ownership
// record is deleted in the last transaction.
func (js *jobStore) remove(ctx context.Context, id string, ownership ownershipRecord, log batch.Log) error {
	removals := []string{ownerKey(id), specKey(id), logKey(id)}
	for number := range log.Chunks {
		removals = append(removals, chunkKey(id, number))
	}
	listing, err := js.store.List(ctx, textPrefix+url.PathEscape(id)+"/")
	if err != nil {
		return err
	}
	for _, record := range listing.Records {
		removals = append(removals, record.Key)
	}
	const maxRemovals = 24
	for len(removals) > maxRemovals {
		last := removals[len(removals)-maxRemovals:]
		if _, err := js.store.Commit(ctx, outside.Transaction{Removals: last}); err != nil {
			return err
		}
		removals = removals[:len(removals)-maxRemovals]
	}
	_, err = js.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: ownerKey(id), Revision: ownership.revision}}, Removals: removals,
	})
	return err
}
