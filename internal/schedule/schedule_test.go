package schedule

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type thing struct{ Place }

func (t *thing) Due() *Place { return &t.Place }

// drawTime is a time near another one or far from it: of the same slot, of the past, beyond a turn of the wheel.
func drawTime(t *rapid.T, now time.Duration) time.Duration {
	span := rapid.SampledFrom([]time.Duration{width, 20 * width, slots * width / 2, 3 * slots * width}).Draw(t, "span")
	return max(0, now+time.Duration(rapid.Int64Range(-int64(span)/4, int64(span)).Draw(t, "time")))
}

// Whatever is put in, moved and taken out, a queue gives what a plain list that is searched in full would.
func TestAQueueIsAsAListSearchedInFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[*thing]
		all := make([]*thing, 40)
		for k := range all {
			all[k] = &thing{Place{Number: uint64(k)}}
		}
		at := map[*thing]time.Duration{}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				x, when := rapid.SampledFrom(all).Draw(t, "thing"), drawTime(t, now)
				q.Set(x, when)
				at[x] = when
			},
			"sooner": func(t *rapid.T) {
				x, when := rapid.SampledFrom(all).Draw(t, "thing"), drawTime(t, now)
				q.Sooner(x, when)
				if old, in := at[x]; !in || when < old {
					at[x] = when
				}
			},
			"remove": func(t *rapid.T) {
				x := rapid.SampledFrom(all).Draw(t, "thing")
				q.Remove(x)
				delete(at, x)
			},
			"take": func(t *rapid.T) {
				now = max(now, drawTime(t, now))
				var want []*thing
				for _, x := range all {
					if when, in := at[x]; in && when <= now {
						want = append(want, x)
						delete(at, x)
					}
				}
				require.True(t, slices.Equal(want, q.Take(now)))
			},
			"": func(t *rapid.T) { require.Equal(t, len(at), q.Len()) },
		})
	})
}

func BenchmarkSetAndTake(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var q Queue[*thing]
			for k := range n {
				q.Set(&thing{Place{Number: uint64(k)}}, 2*time.Second*time.Duration(k)/time.Duration(n))
			}
			b.ResetTimer()
			for now, done := time.Duration(0), 0; done < b.N; now += width {
				for _, x := range q.Take(now) {
					q.Set(x, now+2*time.Second)
					done++
				}
			}
		})
	}
}
