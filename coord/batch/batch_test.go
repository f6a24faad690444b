package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

func TestLongestFirst(t *testing.T) {
	items := []Item{{ID: "a", LengthHint: 3}, {ID: "b", LengthHint: 90}, {ID: "c", LengthHint: 3}}
	must.Eq(t, []int{1, 0, 2}, LongestFirst(items))
}

func TestLog_WithChunk(t *testing.T) {
	first := Log{Epoch: 1, ItemCount: 5}.WithChunk(1, 2)
	second, third := first.WithChunk(1, 1), first.WithChunk(2, 3)
	must.Eq(t, 2, first.ResultCount())
	must.Eq(t, 3, second.ResultCount())
	must.Eq(t, 5, third.ResultCount())
	must.Eq(t, 2, third.Epoch)
}

func TestJob_AcceptsVersions(t *testing.T) {
	job := Job{MinVersion: 4}
	must.True(t, job.AcceptsVersions([]structs.WeightVersion{4, 6}, false))
	must.False(t, job.AcceptsVersions([]structs.WeightVersion{4, 6}, true))
	must.False(t, job.AcceptsVersions([]structs.WeightVersion{3, 4}, false))
	must.False(t, job.AcceptsVersions(nil, false))
}

func TestRendezvousPick(t *testing.T) {
	daemons := []string{"a", "b", "c"}
	counts := map[string]int{}
	for i := range 300 {
		id := fmt.Sprintf("job-%d", i)
		picked := RendezvousPick(id, daemons)
		must.Eq(t, picked, RendezvousPick(id, []string{"c", "a", "b"}))
		counts[picked]++
	}
	for _, name := range daemons {
		must.Greater(t, 50, counts[name])
	}
	must.Eq(t, "", RendezvousPick("job", nil))
}

func TestExpired(t *testing.T) {
	submitted := time.Unix(100, 0)
	must.False(t, Expired(submitted, submitted.Add(time.Hour), 0))
	must.True(t, Expired(submitted, submitted.Add(time.Minute), time.Minute))
	must.False(t, Expired(submitted, submitted.Add(time.Second), time.Minute))
}
