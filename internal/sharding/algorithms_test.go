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

// algorithms are the hashing algorithms that were compared. Each takes a list of counters and returns the function
// that assigns a name to one of them.
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

// BenchmarkShardingAlgorithms reports for each algorithm the cost of a lookup, the number of names on the fullest
// counter relative to the mean (fullest/mean), and the number of names that move when the first counter is removed
// relative to the names on that counter (moved/own).
func BenchmarkShardingAlgorithms(b *testing.B) {
	const names = 200_000
	for _, n := range []int{4, 32, 1024} {
		list := addresses(n)
		for name, assign := range algorithms {
			b.Run(fmt.Sprintf("%s/counters=%d", name, n), func(b *testing.B) {
				with, without := assign(list), assign(list[1:])
				var key [8]byte
				namesPerCounter, moved := map[string]float64{}, 0.0
				for k := range uint64(names) {
					binary.BigEndian.PutUint64(key[:], k*0x9e3779b97f4a7c15)
					home := with(string(key[:]))
					if namesPerCounter[home]++; home != without(string(key[:])) {
						moved++
					}
				}
				largest := 0.0
				for _, v := range namesPerCounter {
					largest = math.Max(largest, v)
				}
				b.ResetTimer()
				for k := range b.N {
					binary.BigEndian.PutUint64(key[:], uint64(k))
					with(string(key[:]))
				}
				b.ReportMetric(largest*float64(n)/names, "fullest/mean")
				b.ReportMetric(moved/namesPerCounter[list[0]], "moved/own")
			})
		}
	}
}
