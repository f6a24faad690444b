package steps

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// maxStepSamples is the largest step that the settings allow.
const maxStepSamples = 32768

func TestEncodeList_LargestStep(t *testing.T) {
	list := step.SampleList{Version: step.Version{Step: 3, Term: 2, Operation: 9}, SupplementTo: 1}
	for i := range uint64(maxStepSamples) {
		host := structs.HostName("host-with-a-long-name-" + string(rune('a'+i%1100)))
		list.Entries = append(list.Entries, step.Entry{
			ID:      structs.SampleID{Origin: structs.Incarnation{Host: host, Start: 1 << 60}, Number: i << 32},
			Holders: [step.HolderCount]structs.HostName{host, "b"},
			Lost:    i == 7,
		})
	}
	value, err := encodeList(list)
	must.NoError(t, err)
	must.Less(t, outside.MaxValueBytes, len(value))
	decoded, err := decodeList(value)
	must.NoError(t, err)
	must.Eq(t, list, decoded)
	_, err = decodeList(value[:len(value)/2])
	must.ErrorIs(t, err, errMalformed)
}
