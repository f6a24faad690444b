package route

import "github.com/flamingobeam/flamingobeam/coord/structs"

// Link is a pair of regions.
type Link struct{ From, To structs.RegionName }

// Prices holds what a GiB costs between regions. Traffic inside a region is
// free.
type Prices struct {
	// Default is the price between regions that PerGiB does not list.
	Default float64
	// PerGiB lists links in either direction.
	PerGiB map[Link]float64
}

// Between returns the price of a GiB between two regions.
func (p Prices) Between(from, to structs.RegionName) float64 {
	if from == to {
		return 0
	}
	if price, ok := p.PerGiB[Link{From: from, To: to}]; ok {
		return price
	}
	if price, ok := p.PerGiB[Link{From: to, To: from}]; ok {
		return price
	}
	return p.Default
}

const bytesPerGiB = 1 << 30

// Cost returns the price of a count of bytes to and from a tier.
func (t *Tier) Cost(bytes int64) float64 { return t.PricePerGiB * float64(bytes) / bytesPerGiB }
