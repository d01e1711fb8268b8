package entry

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/plat/hosts"
)

// GroupOf returns the name of the group that a rack belongs to. An availability zone
// has n groups. The group of a rack does not change as long as n stays the same.
func GroupOf(az, rack string, n int) string {
	return fmt.Sprintf("%s-%d", az, xxhash.Sum64String(rack)%uint64(n))
}

// groupNames returns the sorted names of the groups of all workers in the host list.
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

// homeGroup returns the group that a submission or call is assigned to, by rendezvous
// hash. The result depends only on the arguments, so a retry reaches the same group
// through any host.
func homeGroup(names []string, team, submission string) string {
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
