package entry

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/plat/hosts"
)

// GroupOf returns the name of the group that a rack belongs to. The racks of an
// availability zone are divided by hash into at most n groups. The group of a rack
// does not change as long as n stays the same.
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

// homeGroup returns the group that the submission or call with the given id is
// assigned to, by rendezvous hash. The result depends only on the arguments, so a
// retry through another host with the same list of groups reaches the same group.
func homeGroup(names []string, team, id string) string {
	var best string
	var bestHash uint64
	key := group.RequestKey(team, id)
	for _, name := range names {
		if hash := xxhash.Sum64String(key + "\x00" + name); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}
