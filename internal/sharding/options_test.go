package sharding

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"

	ring "github.com/buraksezer/consistent"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"
	"github.com/dgryski/go-rendezvous"
)

type member string

func (m member) String() string { return string(m) }

type hasher struct{}

func (hasher) Sum64(b []byte) uint64 { return xxhash.Sum64(b) }

// algorithms are the ways to deal names out that were compared: each makes a list's deal.
var algorithms = map[string]func([]string) func(key string) string{
	"rendezvous": func(list []string) func(string) string {
		return rendezvous.New(list, xxhash.Sum64String).Lookup
	},
	"jump": func(list []string) func(string) string {
		return func(key string) string { return list[jump.Hash(xxhash.Sum64String(key), len(list))] }
	},
	"ring with bounded loads": func(list []string) func(string) string {
		members := make([]ring.Member, len(list))
		for k, a := range list {
			members[k] = member(a)
		}
		r := ring.New(members, ring.Config{Hasher: hasher{}, PartitionCount: max(271, 16*len(list)+1), ReplicationFactor: 20, Load: 1.25})
		return func(key string) string { return r.LocateKey([]byte(key)).String() }
	},
}

// BenchmarkShardingAlgorithms tells of each way what a look-up costs, the share of the names on the fullest counter over the mean, and the
// share that moves when the first counter goes, over that counter's own.
func BenchmarkShardingAlgorithms(b *testing.B) {
	const names = 200_000
	for _, n := range []int{4, 32, 1024} {
		list := addresses(n)
		for name, deal := range algorithms {
			b.Run(fmt.Sprintf("%s/counters=%d", name, n), func(b *testing.B) {
				of, without := deal(list), deal(list[1:])
				var key [8]byte
				per, moved := map[string]float64{}, 0.0
				for k := range uint64(names) {
					binary.BigEndian.PutUint64(key[:], k*0x9e3779b97f4a7c15)
					home := of(string(key[:]))
					if per[home]++; home != without(string(key[:])) {
						moved++
					}
				}
				most := 0.0
				for _, v := range per {
					most = math.Max(most, v)
				}
				b.ResetTimer()
				for k := range b.N {
					binary.BigEndian.PutUint64(key[:], uint64(k))
					of(string(key[:]))
				}
				b.ReportMetric(most*float64(n)/names, "fullest/mean")
				b.ReportMetric(moved/per[list[0]], "moved/own")
			})
		}
	}
}
