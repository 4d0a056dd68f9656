package pwrouter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Subset returns up to n of the servers for one instance, chosen by rendezvous
// hashing and sorted by descending hash. The subsets of many instances spread
// evenly over the servers, and a server that joins or leaves changes a subset
// by one server at most.
func Subset(self pwrequest.InstanceID, servers []pwrequest.BackendServerID, n int) []pwrequest.BackendServerID {
	type ranked struct {
		id   pwrequest.BackendServerID
		hash uint64
	}
	rs := make([]ranked, 0, len(servers))
	buf := append([]byte(self), 0)
	for _, id := range servers {
		buf = append(buf[:len(self)+1], id...)
		rs = append(rs, ranked{
			id:   id,
			hash: xxhash.Sum64(buf),
		})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	rs = slices.Compact(rs)
	out := make([]pwrequest.BackendServerID, 0, min(max(0, n), len(rs)))
	for _, r := range rs[:min(max(0, n), len(rs))] {
		out = append(out, r.id)
	}
	return out
}
