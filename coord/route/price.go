package route

import "github.com/flamingobeam/flamingobeam/coord/structs"

// Link is a pair of regions between which traffic is charged.
type Link struct{ From, To structs.RegionName }

// Prices holds the prices of a GiB of traffic between regions. Traffic inside a
// region is free.
type Prices struct {
	// Default is the price for links that are not in PerGiB.
	Default float64
	// PerGiB holds the price of a link. An entry applies to both directions,
	// unless the reverse link has an entry of its own.
	PerGiB map[Link]float64
}

// Between returns the price of a GiB sent from one region to another.
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

// Cost returns the price of the given number of bytes sent to or received from
// the tier.
func (t *Tier) Cost(bytes int64) float64 { return t.PricePerGiB * float64(bytes) / bytesPerGiB }
