package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a prompt block in the prefix cache.
	BlockBytes = 64
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
)

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash
// of the whole prefix that ends with it.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	hits     uint64
	misses   uint64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// add puts the blocks of a prompt into the cache and returns how many bytes of
// the prompt follow the longest prefix that was cached before.
func (c *prefixCache) add(prompt string) int {
	digest := xxhash.New()
	cachedBytes, missed := 0, false
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		if !c.touch(digest.Sum64()) {
			missed = true
		}
		if !missed {
			cachedBytes = end
		}
	}
	if cachedBytes > 0 {
		c.hits++
	} else {
		c.misses++
	}
	return len(prompt) - cachedBytes
}

// touch marks a block as most recently used, adding it if needed, and reports
// whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.lru.PushFront(block)
	if c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		delete(c.blocks, c.lru.Remove(oldest).(uint64))
	}
	return false
}
