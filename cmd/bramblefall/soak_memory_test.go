package main

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"bramblefall/internal/standin"
)

const (
	memorySampleInterval = 20 * time.Millisecond
	soakFlooders         = 40
)

// memoryLimits are the limits, in MB, that the seeds of soaks and fault tests draw from.
var memoryLimits = []int{32, 48, 64, 192}

// drawMemoryLimit returns the memory limit of a seed, in MB.
func drawMemoryLimit(seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 104))
	return memoryLimits[rng.IntN(len(memoryLimits))]
}

// watchMemory returns the largest resident set, in KB, that a limiter has had by the time that it ends or stop is closed.
func watchMemory(l *standin.Limiter, stop <-chan struct{}) (peakKB int) {
	for {
		peakKB = max(peakKB, l.PeakMemoryKB())
		select {
		case <-l.Ended:
			return peakKB
		case <-stop:
			return peakKB
		case <-time.After(memorySampleInterval):
		}
	}
}

// harmlessFloods are what flooding clients send in soaks and fault tests: nothing of it is a request, which the auditors would miss
// among those that they know.
func harmlessFloods() []flood {
	var list []flood
	for _, f := range floods() {
		switch f.name {
		case "pings, answers not read", "unknown commands, answers not read", "parts of large commands":
			list = append(list, f)
		}
	}
	return list
}

// runFlooders lets clients flood a limiter until ctx ends. Half of them come and go.
func runFlooders(ctx context.Context, seed uint64, addr string) {
	e := &floodEnvironment{limiter: &limiter{addr: addr}}
	kinds := harmlessFloods()
	for k := range soakFlooders {
		rng := rand.New(rand.NewPCG(seed, uint64(200+k)))
		go func() {
			for ctx.Err() == nil {
				stay, cancel := ctx, context.CancelFunc(func() {})
				if k%2 == 0 {
					stay, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
				}
				if conn, err := net.Dial("tcp", addr); err == nil {
					over := context.AfterFunc(stay, func() { _ = conn.Close() })
					kinds[rng.IntN(len(kinds))].attack(stay, e, conn)
					over()
					_ = conn.Close()
				}
				cancel()
				time.Sleep(time.Millisecond)
			}
		}()
	}
	<-ctx.Done()
}
