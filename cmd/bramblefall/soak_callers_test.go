package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	soakCallerCount = 4
	minCallTimeout  = 300 * time.Millisecond
)

// endpoint answers calls of the limiter's second group by chance: soon, with an error, or not at all while the nodes hang.
func (s *soak) respondByChance(ctx context.Context, _ *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	s.mu.Lock()
	chance, hangs := s.rng.Float64(), s.nodesHang
	s.mu.Unlock()
	switch {
	case hangs && chance < 0.3:
		<-ctx.Done()
		return nil, ctx.Err()
	case chance < 0.4:
		return nil, status.Error(codes.Internal, "by chance")
	}
	time.Sleep(time.Duration(chance*30) * time.Millisecond)
	return &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}, nil
}

// caller makes one call after the other over one connection, as a proxy does, for as long as the limiter lives.
func (s *soak) runCaller(rng *rand.Rand, addr string) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if !assert.NoError(s.t, err) {
		return
	}
	defer conn.Close()
	service := rlsv3.NewRateLimitServiceClient(conn)
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), minCallTimeout+time.Duration(rng.Int64N(int64(s.deadline))))
		_, err := service.ShouldRateLimit(ctx, rateLimitRequest(firmDescriptor(fmt.Sprintf("%x", 1+rng.IntN(20)))))
		cancel()
		s.checkCallResult(err)
	}
}

// called judges the end of a call: it has a verdict, its own time was over, or it never reached the limiter.
func (s *soak) checkCallResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	code, text := status.Code(err), status.Convert(err).Message()
	switch {
	case err == nil:
		s.verdictCalls++
	case code == codes.DeadlineExceeded:
		s.timedOutCalls++
	case code == codes.Unavailable && (strings.Contains(text, "connection refused") || strings.Contains(text, "server preface")):
	default:
		s.addFinding("a call ended without a verdict: %v", err)
	}
}
