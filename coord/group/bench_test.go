package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// BenchmarkChunk is what a chunk costs the goroutine of a group whose streams
// all run.
func BenchmarkChunk(b *testing.B) {
	for _, size := range []int{8, 64, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := New(limits(size), StalenessBound{})
			g.Begin()
			g.HandlePlacement(start, 1, "h")
			g.HandleChunk(start, 1, piece("x", 1, false))
			for i := 2; i <= size; i++ {
				g.HandlePlacement(start, StreamID(i), structs.HostName("h"))
			}
			now, i := start, 0
			for b.Loop() {
				i++
				now = now.Add(10 * time.Microsecond)
				g.HandleChunk(now, StreamID(i%size+1), piece("hello ", 1, false))
				g.NextCheck()
			}
		})
	}
}
