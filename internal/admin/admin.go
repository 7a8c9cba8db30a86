// Package admin is the operators' service on a Unix socket: it puts their questions and changes to the reducer, and
// decides nothing.
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
	"bramblefall/internal/plans"
	"bramblefall/internal/socket"
)

const (
	mostCall  = 16 << 20 // bytes: a version may name a hundred thousand firms
	mostCalls = 16       // at once
	mostWait  = 5 * time.Second
	onlyOwner = 0o600
)

// Descriptors is how many the service may hold.
const Descriptors = 16

// Owner takes the questions.
type Owner interface{ Post(core.Event) }

// Service is the admin service.
type Service struct {
	adminpb.UnimplementedAdminServer
	owner  Owner
	server *grpc.Server
}

// New makes a service.
func New(owner Owner) *Service {
	s := &Service{owner: owner}
	s.server = grpc.NewServer(grpc.MaxRecvMsgSize(mostCall), grpc.MaxConcurrentStreams(mostCalls), grpc.UnaryInterceptor(guarded))
	adminpb.RegisterAdminServer(s.server, s)
	return s
}

func guarded(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	defer crash.Guard()
	return handle(ctx, req)
}

// Listen opens the socket, which its owner alone may use, and serves it until Stop. A socket that a dead process left
// behind is taken over; one that is served, or a file of another kind, is not.
func (s *Service) Listen(path string) error {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("admin socket %s: a file of another kind stands there", path)
		}
		if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
			_ = conn.Close()
			return fmt.Errorf("admin socket %s: another process serves it", path)
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("admin socket: %w", err)
		}
	}
	// Made under another name with its mode set, then moved: nobody else may connect in between.
	made := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	before := syscall.Umask(0o177)
	l, err := socket.RetryListen(func() (net.Listener, error) { return net.Listen("unix", made) })
	syscall.Umask(before)
	if err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(made, onlyOwner), os.Rename(made, path)); err != nil {
		_ = l.Close()
		return fmt.Errorf("admin socket: %w", err)
	}
	crash.Go(func() {
		_ = s.server.Serve(socket.Steady(l))
		_ = os.Remove(path)
	})
	return nil
}

// Stop ends the service.
func (s *Service) Stop() { s.server.Stop() }

// ask puts a question to the reducer and waits for the answer.
func (s *Service) ask(ctx context.Context, question any) (core.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, mostWait)
	defer cancel()
	answer := make(chan core.Reply, 1) // has a place for the answer, whoever still waits
	s.owner.Post(core.Ask{Question: question, Reply: func(r core.Reply) { answer <- r }})
	select {
	case r := <-answer:
		if r.Err != nil {
			return r, status.Error(codes.InvalidArgument, r.Err.Error())
		}
		return r, nil
	case <-ctx.Done():
		// What was asked for may have been done: a version or a reservation asked for again is the same one.
		return core.Reply{}, status.FromContextError(ctx.Err()).Err()
	}
}

// ShowPlans implements the service.
func (s *Service) ShowPlans(ctx context.Context, _ *adminpb.ShowPlansRequest) (*adminpb.Book, error) {
	r, err := s.ask(ctx, core.Show{})
	if err != nil {
		return nil, err
	}
	return bookOut(r), nil
}

// ApplyPlans implements the service.
func (s *Service) ApplyPlans(ctx context.Context, req *adminpb.ApplyPlansRequest) (*adminpb.ApplyPlansResponse, error) {
	v := VersionIn(req.GetVersion())
	v.Source = plans.Admin
	r, err := s.ask(ctx, core.Propose{Version: v, DryRun: req.GetDryRun()})
	if err != nil {
		return nil, err
	}
	return &adminpb.ApplyPlansResponse{Effects: effectsOut(r.Effects), Book: bookOut(r)}, nil
}

// WithdrawPlans implements the service.
func (s *Service) WithdrawPlans(ctx context.Context, req *adminpb.WithdrawPlansRequest) (*adminpb.Book, error) {
	r, err := s.ask(ctx, core.Withdraw{Number: req.GetNumber()})
	if err != nil {
		return nil, err
	}
	return bookOut(r), nil
}

// GrantReservation implements the service.
func (s *Service) GrantReservation(ctx context.Context, req *adminpb.GrantReservationRequest) (*adminpb.Book, error) {
	x := ReservationIn(req.GetReservation())
	x.Source, x.State = plans.Admin, ""
	r, err := s.ask(ctx, core.Grant{Reservation: x})
	if err != nil {
		return nil, err
	}
	return bookOut(r), nil
}

// RevokeReservation implements the service.
func (s *Service) RevokeReservation(ctx context.Context, req *adminpb.RevokeReservationRequest) (*adminpb.Book, error) {
	r, err := s.ask(ctx, core.Revoke{ID: req.GetId()})
	if err != nil {
		return nil, err
	}
	return bookOut(r), nil
}

// Dial connects to the service of a limiter.
func Dial(path string) (adminpb.AdminClient, func() error, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, nil, fmt.Errorf("admin socket: %w", err)
	}
	abs, err := filepath.Abs(path)
	if err != nil {
		return nil, nil, err
	}
	conn, err := grpc.NewClient("unix://"+abs, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostCall)))
	if err != nil {
		return nil, nil, err
	}
	return adminpb.NewAdminClient(conn), conn.Close, nil
}
