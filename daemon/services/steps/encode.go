package steps

import (
	"bytes"
	"encoding/gob"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// errMalformed is returned for a segment that this package can't have written.
var errMalformed = errors.New("steps: malformed segment")

func encodeHead(head step.Head) ([]byte, error) { return json.Marshal(head) }

func decodeHead(value []byte) (step.Head, error) {
	var head step.Head
	if err := json.Unmarshal(value, &head); err != nil {
		return head, errors.Wrap(err, "decode head of the steps")
	}
	return head, errors.Wrap(head.Validate(), "validate head of the steps")
}

// columns is the stored form of a step.SampleList, one slice per column. Each
// distinct origin and host is stored once; entries refer to it by index. Gob
// encodes indexes and differences as variable-length numbers.
type columns struct {
	Version step.Version
	// Of is the step that this one supplements, or zero.
	Of      uint64
	Origins []structs.Incarnation
	Hosts   []structs.HostName
	// Origin holds indexes into Origins; First and Second, the indexes of the
	// two holders, point into Hosts.
	Origin, First, Second []uint
	// Number holds the difference of each sample number to that of the previous
	// entry, modulo 2^64.
	Number []uint64
	Lost   []bool
}

// indexTable assigns an index to each distinct value.
type indexTable[T comparable] struct {
	values  []T
	indexes map[T]uint
}

func (t *indexTable[T]) index(value T) uint {
	if index, ok := t.indexes[value]; ok {
		return index
	}
	if t.indexes == nil {
		t.indexes = make(map[T]uint)
	}
	index := uint(len(t.values))
	t.indexes[value] = index
	t.values = append(t.values, value)
	return index
}

// encodeList encodes a list as a segment.
func encodeList(list step.SampleList) ([]byte, error) {
	var origins indexTable[structs.Incarnation]
	var hosts indexTable[structs.HostName]
	c := columns{Version: list.Version, Of: list.SupplementTo}
	previous := uint64(0)
	for _, entry := range list.Entries {
		c.Origin = append(c.Origin, origins.index(entry.ID.Origin))
		c.First = append(c.First, hosts.index(entry.Holders[0]))
		c.Second = append(c.Second, hosts.index(entry.Holders[1]))
		c.Number = append(c.Number, entry.ID.Number-previous)
		c.Lost = append(c.Lost, entry.Lost)
		previous = entry.ID.Number
	}
	c.Origins, c.Hosts = origins.values, hosts.values
	var out bytes.Buffer
	err := gob.NewEncoder(&out).Encode(c)
	return out.Bytes(), errors.Wrap(err, "encode segment")
}

// decodeList decodes a segment. It fails with errMalformed.
func decodeList(value []byte) (step.SampleList, error) {
	var c columns
	if err := gob.NewDecoder(bytes.NewReader(value)).Decode(&c); err != nil {
		return step.SampleList{}, errors.Wrap(errMalformed, err.Error())
	}
	count := len(c.Origin)
	if len(c.First) != count || len(c.Second) != count || len(c.Number) != count || len(c.Lost) != count {
		return step.SampleList{}, errors.Wrap(errMalformed, "columns differ in length")
	}
	list := step.SampleList{Version: c.Version, SupplementTo: c.Of, Entries: make([]step.Entry, count)}
	previous := uint64(0)
	for i := range list.Entries {
		entry, err := c.entry(i, &previous)
		if err != nil {
			return step.SampleList{}, err
		}
		list.Entries[i] = entry
	}
	return list, nil
}

// entry decodes the entry at i. previous is the sample number of the entry before
// and is set to that of this one.
func (c *columns) entry(i int, previous *uint64) (step.Entry, error) {
	hosts := uint(len(c.Hosts))
	if c.Origin[i] >= uint(len(c.Origins)) || c.First[i] >= hosts || c.Second[i] >= hosts {
		return step.Entry{}, errors.Wrap(errMalformed, "index out of range")
	}
	*previous += c.Number[i]
	return step.Entry{
		ID:      structs.SampleID{Origin: c.Origins[c.Origin[i]], Number: *previous},
		Holders: [step.HolderCount]structs.HostName{c.Hosts[c.First[i]], c.Hosts[c.Second[i]]},
		Lost:    c.Lost[i],
	}, nil
}
