package managed

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Port range of this package, below the system's ephemeral ports.
const (
	firstPort = 24000
	lastPort  = 29999
	// blockPorts is the number of ports that a process of tests takes at a time. Several may
	// run beside each other.
	blockPorts = 50
)

// portBlocks hands out the ports of this process. A port may be free and yet be another
// process's, whose daemon has not started or has just been stopped.
var portBlocks struct {
	mu sync.Mutex
	// next is the next port of the current block, and end the end of that block.
	next, end int
	// tried is the number of blocks that were tried, and locked are those of this process.
	tried  int
	locked []portBlock
}

type portBlock struct {
	first int
	// file is locked until the end of the process.
	file *os.File
}

// takePorts returns the first of adjacent ports on which no process listens.
func takePorts(t *testing.T, count int) int {
	t.Helper()
	portBlocks.mu.Lock()
	defer portBlocks.mu.Unlock()
	for {
		for portBlocks.next+count <= portBlocks.end {
			first := portBlocks.next
			portBlocks.next += count
			if areFree(first, count) {
				return first
			}
		}
		block := nextBlock(t)
		portBlocks.next, portBlocks.end = block.first, block.first+blockPorts
	}
}

// nextBlock locks the next block that no other process has. Once all are taken, the blocks
// of this process are used again, the oldest first.
func nextBlock(t *testing.T) portBlock {
	t.Helper()
	folder := filepath.Join(os.TempDir(), fmt.Sprint("flamingobeam-ports-", os.Getuid()))
	must.NoError(t, os.MkdirAll(folder, 0o700))
	for first := firstPort + portBlocks.tried*blockPorts; first+blockPorts <= lastPort+1; first += blockPorts {
		portBlocks.tried++
		file, err := os.OpenFile(filepath.Join(folder, fmt.Sprint(first)), os.O_RDWR|os.O_CREATE, 0o600)
		must.NoError(t, err)
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			portBlocks.locked = append(portBlocks.locked, portBlock{first: first, file: file})
			return portBlocks.locked[len(portBlocks.locked)-1]
		}
		must.NoError(t, file.Close())
	}
	must.SliceNotEmpty(t, portBlocks.locked, must.Sprint("other processes have all ports"))
	oldest := portBlocks.locked[0]
	portBlocks.locked = append(portBlocks.locked[1:], oldest)
	return oldest
}

// freePorts returns ports of the range that no process listens on.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	ports := make([]int, count)
	for i := range ports {
		ports[i] = takePorts(t, 1)
	}
	return ports
}

// freePortRange returns the first of two adjacent free ports.
func freePortRange(t *testing.T) int { return takePorts(t, 2) }

// areFree reports whether no process listens on any of adjacent ports.
func areFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || listener.Close() != nil {
			return false
		}
	}
	return true
}
