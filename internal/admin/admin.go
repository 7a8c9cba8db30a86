// Package admin is the operators' gRPC service on a Unix socket. It forwards their queries and changes to the reducer
// (package core) and makes no decisions itself.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/core"
	"bramblefall/internal/crash"
	"bramblefall/internal/grpcserver"
	"bramblefall/internal/memory"
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
)

const (
	maxMessageBytes    = 16 << 20        // a version may name 100,000 firms
	maxConcurrentCalls = 16              // on one connection
	replyTimeout       = 5 * time.Second // for an answer of the reducer
	socketMode         = 0o600           // only the owner may connect
)

// Descriptors is the number of file descriptors that the service is granted of the process's limit.
const Descriptors = 16

// EventPoster accepts events for the reducer.
type EventPoster interface{ Post(core.Event) }

// Service is the admin service.
type Service struct {
	adminpb.UnimplementedAdminServer
	reducer  EventPoster
	server   *grpc.Server
	listener *grpcserver.Listener
	monitor  *memory.Monitor
}

// messageShare is the part of the memory for calls that one message may take.
const messageShare = 0.25

// New returns a service that is not yet listening. Its calls take memory from the budget.
func New(reducer EventPoster, calls *memory.Budget, monitor *memory.Monitor) *Service {
	s := &Service{reducer: reducer, monitor: monitor}
	s.server = grpcserver.New(grpcserver.Limits{Calls: calls, Monitor: monitor, CallBytes: min(maxMessageBytes, int(messageShare*float64(calls.Limit()))),
		Streams: maxConcurrentCalls})
	adminpb.RegisterAdminServer(s.server, s)
	return s
}

// Listen opens the Unix socket, with access for its owner only, and serves it until Stop. It replaces a stale socket that no
// process serves, and returns an error if another process serves the socket or the path is a file of another kind.
func (s *Service) Listen(path string) error {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("admin socket %s: the path exists and is not a socket (mode %s)", path, info.Mode())
		}
		if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
			_ = conn.Close()
			return fmt.Errorf("admin socket %s: another process serves it", path)
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("admin socket: %w", err)
		}
	}
	// Create the socket under a temporary name and rename it once its mode is set, so that no other user can connect in between.
	temporary := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	previousUmask := syscall.Umask(0o177)
	l, err := socket.RetryListen(func() (net.Listener, error) { return net.Listen("unix", temporary) })
	syscall.Umask(previousUmask)
	if err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, socketMode), os.Rename(temporary, path)); err != nil {
		_ = l.Close()
		return fmt.Errorf("admin socket: %w", err)
	}
	s.listener = grpcserver.Listen(socket.RetryAccept(l), Descriptors, s.monitor)
	crash.Go(func() {
		_ = s.server.Serve(s.listener)
		_ = os.Remove(path)
	})
	return nil
}

// Drain ends the service at a planned restart, within the given time: calls in progress are answered, and so are those of callers who
// have connected already.
func (s *Service) Drain(timeout time.Duration) {
	stop := crash.AfterFunc(timeout, s.server.Stop)
	defer stop.Stop()
	s.listener.AwaitAccepted(timeout)
	s.server.GracefulStop()
}

// query posts a command to the reducer and waits up to replyTimeout for the answer.
func (s *Service) query(ctx context.Context, command any) (core.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply := make(chan core.Reply, 1) // buffered: the reducer does not block if the caller has given up
	s.reducer.Post(core.PlanCommand{Command: command, Reply: func(r core.Reply) { reply <- r }})
	select {
	case r := <-reply:
		if r.Err != nil {
			return r, status.Error(codes.InvalidArgument, r.Err.Error())
		}
		return r, nil
	case <-ctx.Done():
		// The change may have been made nevertheless. The caller can retry: the same numbered version or the same reservation is
		// added only once. A version without a number is added again.
		return core.Reply{}, status.FromContextError(ctx.Err()).Err()
	}
}

// ShowPlans implements adminpb.AdminServer.
func (s *Service) ShowPlans(ctx context.Context, _ *adminpb.ShowPlansRequest) (*adminpb.Book, error) {
	r, err := s.query(ctx, core.Show{})
	if err != nil {
		return nil, err
	}
	return bookToProto(r), nil
}

// ApplyPlans implements adminpb.AdminServer.
func (s *Service) ApplyPlans(ctx context.Context, req *adminpb.ApplyPlansRequest) (*adminpb.ApplyPlansResponse, error) {
	v := VersionFromProto(req.GetVersion())
	v.Source = plans.Admin
	r, err := s.query(ctx, core.Propose{Version: v, DryRun: req.GetDryRun()})
	if err != nil {
		return nil, err
	}
	return &adminpb.ApplyPlansResponse{Effects: effectsToProto(r.Effects), Book: bookToProto(r)}, nil
}

// WithdrawPlans implements adminpb.AdminServer.
func (s *Service) WithdrawPlans(ctx context.Context, req *adminpb.WithdrawPlansRequest) (*adminpb.Book, error) {
	r, err := s.query(ctx, core.Withdraw{Number: req.GetNumber()})
	if err != nil {
		return nil, err
	}
	return bookToProto(r), nil
}

// GrantReservation implements adminpb.AdminServer.
func (s *Service) GrantReservation(ctx context.Context, req *adminpb.GrantReservationRequest) (*adminpb.Book, error) {
	x := ReservationFromProto(req.GetReservation())
	x.Source, x.State = plans.Admin, ""
	r, err := s.query(ctx, core.Grant{Reservation: x})
	if err != nil {
		return nil, err
	}
	return bookToProto(r), nil
}

// RevokeReservation implements adminpb.AdminServer.
func (s *Service) RevokeReservation(ctx context.Context, req *adminpb.RevokeReservationRequest) (*adminpb.Book, error) {
	r, err := s.query(ctx, core.Revoke{ID: req.GetId()})
	if err != nil {
		return nil, err
	}
	return bookToProto(r), nil
}

// Dial returns a client of the admin service at a socket, and a function that closes it. It fails at once if path is absent.
func Dial(path string) (adminpb.AdminClient, func() error, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil, fmt.Errorf("admin socket: %w", err)
	}
	abs, err := filepath.Abs(path)
	if err != nil {
		return nil, nil, err
	}
	conn, err := grpc.NewClient("unix://"+abs, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, nil, err
	}
	return adminpb.NewAdminClient(conn), conn.Close, nil
}
