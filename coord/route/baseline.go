package route

// PickTwoChoices is a baseline for benchmarks. It returns the less loaded of two
// random servers of the nearest tier, without regard to affinity or limits.
func (t *Table) PickTwoChoices(random uint64, loads Loads) int {
	members := t.tiers[0].Members
	random = mix(random)
	first := int(members[reduce(random, len(members))])
	second := int(members[reduce(random<<32, len(members))])
	if loads.Load(second) < loads.Load(first) {
		return second
	}
	return first
}

// PickRoundRobin is a baseline for benchmarks. It returns the servers of the
// nearest tier in turn; count is the number of earlier requests.
func (t *Table) PickRoundRobin(count uint64) int {
	members := t.tiers[0].Members
	return int(members[count%uint64(len(members))])
}

// PickByAffinity is a baseline for benchmarks. It returns the server of the
// nearest tier to which the affinity hash maps, without regard to load.
func (t *Table) PickByAffinity(affinity uint64) int { return t.tiers[0].ring.lookup(affinity) }
