package steps

import (
	"sync"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// memoryStore is the recordStore of a daemon without a data folder. Its records
// are lost when the process ends.
type memoryStore struct {
	mu      sync.Mutex
	records map[structs.SampleID]record
}

func newMemoryStore() *memoryStore { return &memoryStore{records: make(map[structs.SampleID]record)} }

func (m *memoryStore) put(records []record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		m.records[r.Sample.ID] = r
	}
	return nil
}

func (m *memoryStore) get(id structs.SampleID) (structs.Sample, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[id]
	return r.Sample, ok
}

func (m *memoryStore) remove(ids []structs.SampleID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		delete(m.records, id)
	}
	return nil
}

func (m *memoryStore) forEach(visit func(record)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		visit(r)
	}
	return nil
}

func (m *memoryStore) close() error { return nil }
