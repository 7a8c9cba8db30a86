package schedule

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type item struct{ Entry }

func (i *item) ScheduleEntry() *Entry { return &i.Entry }

// drawTime draws a time near to now or far from it: in the same slot, in the past, or beyond a turn of the wheel.
func drawTime(t *rapid.T, now time.Duration) time.Duration {
	span := rapid.SampledFrom([]time.Duration{slotWidth, 20 * slotWidth, slotCount * slotWidth / 2, 3 * slotCount * slotWidth}).Draw(t, "span")
	return max(0, now+time.Duration(rapid.Int64Range(-int64(span)/4, int64(span)).Draw(t, "time")))
}

// Whatever is put in, moved and taken out, a queue returns what a full scan of a plain list would.
func TestQueueMatchesAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[*item]
		all := make([]*item, 40)
		for k := range all {
			all[k] = &item{Entry{Order: uint64(k)}}
		}
		at := map[*item]time.Duration{}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				x, when := rapid.SampledFrom(all).Draw(t, "item"), drawTime(t, now)
				q.Set(x, when)
				at[x] = when
			},
			"set earlier": func(t *rapid.T) {
				x, when := rapid.SampledFrom(all).Draw(t, "item"), drawTime(t, now)
				q.SetEarlier(x, when)
				if old, in := at[x]; !in || when < old {
					at[x] = when
				}
			},
			"remove": func(t *rapid.T) {
				x := rapid.SampledFrom(all).Draw(t, "item")
				q.Remove(x)
				delete(at, x)
			},
			"take due": func(t *rapid.T) {
				now = max(now, drawTime(t, now))
				var want []*item
				for _, x := range all {
					if when, in := at[x]; in && when <= now {
						want = append(want, x)
						delete(at, x)
					}
				}
				require.True(t, slices.Equal(want, q.TakeDue(now)))
			},
			"": func(t *rapid.T) { require.Equal(t, len(at), q.Len()) },
		})
	})
}

func BenchmarkSetAndTake(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var q Queue[*item]
			for k := range n {
				q.Set(&item{Entry{Order: uint64(k)}}, 2*time.Second*time.Duration(k)/time.Duration(n))
			}
			b.ResetTimer()
			for now, done := time.Duration(0), 0; done < b.N; now += slotWidth {
				for _, x := range q.TakeDue(now) {
					q.Set(x, now+2*time.Second)
					done++
				}
			}
		})
	}
}
