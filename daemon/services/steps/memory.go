package steps

import (
	"sync"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// memory keeps samples in memory, for a host without a data folder.
type memory struct {
	mu      sync.Mutex
	records map[structs.SampleID]record
}

func newMemory() *memory { return &memory{records: make(map[structs.SampleID]record)} }

func (m *memory) put(records []record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		m.records[r.Sample.ID] = r
	}
	return nil
}

func (m *memory) get(id structs.SampleID) (structs.Sample, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[id]
	return r.Sample, ok
}

func (m *memory) remove(ids []structs.SampleID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		delete(m.records, id)
	}
	return nil
}

func (m *memory) each(visit func(record)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		visit(r)
	}
	return nil
}

func (m *memory) close() error { return nil }
