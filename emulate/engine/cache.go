package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a prompt block in the prefix cache.
	BlockBytes = 64
	// bytesPerToken is how many bytes of a prompt count as one token.
	bytesPerToken = 4
)

// prefixCache remembers blocks of prompts, each under the hash of the whole
// prefix that ends with it, and forgets those used longest ago.
type prefixCache struct {
	capacity int
	recent   *list.List
	blocks   map[uint64]*list.Element
	hits     uint64
	misses   uint64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// read returns how many bytes of a prompt are not in the cache, and puts them
// there.
func (c *prefixCache) read(prompt string) int {
	digest := xxhash.New()
	cached, broken := 0, false
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		if !c.touch(digest.Sum64()) {
			broken = true
		}
		if !broken {
			cached = end
		}
	}
	if cached > 0 {
		c.hits++
	} else {
		c.misses++
	}
	return len(prompt) - cached
}

// touch makes a block the one used last and reports whether it was cached.
func (c *prefixCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.recent.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.recent.PushFront(block)
	if c.recent.Len() > c.capacity {
		oldest := c.recent.Back()
		delete(c.blocks, c.recent.Remove(oldest).(uint64))
	}
	return false
}
