package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// BenchmarkChunk measures the cost of a chunk for the goroutine of a group with
// all streams running.
func BenchmarkChunk(b *testing.B) {
	for _, size := range []int{8, 64, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := New(testLimits(size), StalenessBound{})
			g.Begin()
			g.HandlePlacement(startTime, 1, "h")
			g.HandleChunk(startTime, 1, oneTokenChunk("x", 1, false))
			for i := 2; i <= size; i++ {
				g.HandlePlacement(startTime, StreamID(i), structs.HostName("h"))
			}
			now, i := startTime, 0
			for b.Loop() {
				i++
				now = now.Add(10 * time.Microsecond)
				g.HandleChunk(now, StreamID(i%size+1), oneTokenChunk("hello ", 1, false))
				g.NextCheck()
			}
		})
	}
}
