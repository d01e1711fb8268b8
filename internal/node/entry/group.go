package entry

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/plat/hosts"
)

// GroupOf returns the group of a rack. An availability zone has n groups, and
// each of its racks belongs to one of them for good.
func GroupOf(az, rack string, n int) string {
	return fmt.Sprintf("%s-%d", az, xxhash.Sum64String(rack)%uint64(n))
}

// groupNames lists the groups of all workers in the host list, sorted.
func groupNames(list hosts.List, n int) []string {
	set := map[string]bool{}
	for _, w := range list.Workers {
		set[GroupOf(w.Az, w.Rack, n)] = true
	}
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// homeOf returns the group that owns a submission. It depends only on the
// submission and the groups, so a repetition reaches the same group whichever
// host takes it.
func homeOf(names []string, team, submission string) string {
	var best string
	var bestHash uint64
	key := group.SubKey(team, submission)
	for _, name := range names {
		if h := xxhash.Sum64String(key + "\x00" + name); best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	return best
}
