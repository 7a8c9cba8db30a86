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

// respondByChance is the limiter's external service. It answers calls at random: soon, with an error, or, while the nodes hang,
// not at all.
func (s *soak) respondByChance(ctx context.Context, _ *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	s.mu.Lock()
	chance, hangs := s.rng.Float64(), s.nodesHang
	s.mu.Unlock()
	switch {
	case hangs && chance < 0.3:
		<-ctx.Done()
		return nil, ctx.Err()
	case chance < 0.4:
		return nil, status.Error(codes.Internal, "random failure")
	}
	time.Sleep(time.Duration(chance*30) * time.Millisecond)
	return &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}, nil
}

// runCaller makes one gRPC call after the other over one connection, as a proxy does, until the limiter exits.
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

// checkCallResult checks the result of a call: a verdict, an expired deadline, or a connection that never reached the limiter.
// Anything else is a finding.
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
		s.addFinding("call failed with %v, want a verdict, an expired deadline or a refused connection", err)
	}
}
