package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"
)

// HandlerConfig configures a handler.
type HandlerConfig struct {
	Secret  string // shared by all members
	Service Service
}

// NewHandler returns the handler for messages of other members; it rejects senders without the shared secret.
func NewHandler(c HandlerConfig) http.Handler {
	mux := http.NewServeMux()
	Handle(mux, heartbeatPath, func(ctx context.Context, m *Heartbeat) (Ack, error) { return Ack{}, c.Service.HandleHeartbeat(ctx, *m) })
	Handle(mux, pullPath, func(ctx context.Context, m *PullRequest) (PullReply, error) { return c.Service.HandlePull(ctx, *m) })
	Handle(mux, relayPath, func(ctx context.Context, m *Relay) (Ack, error) { return Ack{}, c.Service.HandleRelay(ctx, *m) })
	Handle(mux, reservePath, func(ctx context.Context, m *ReserveRequest) (ReserveReply, error) {
		return c.Service.HandleReserve(ctx, *m)
	})
	Handle(mux, finishPath, func(ctx context.Context, m *Finish) (Ack, error) { return Ack{}, c.Service.HandleFinish(ctx, *m) })
	Handle(mux, recallPath, func(ctx context.Context, _ *RecallRequest) (RecallReply, error) { return c.Service.HandleRecall(ctx) })
	Handle(mux, taskPath, func(ctx context.Context, m *TaskRequest) (TaskReply, error) { return c.Service.HandleTask(ctx, *m) })
	return requireSecret(c.Secret, mux)
}

// OverloadedError reports that a member has rejected a call for lack of memory; the call had no effect.
type OverloadedError struct{ Reason string }

// Error returns the reason.
func (e OverloadedError) Error() string { return "overloaded: " + e.Reason }

// Handle registers the handler of one procedure; an OverloadedError is sent as the code resource exhausted, any other error of handle as
// the code unavailable.
func Handle[Q, A any](mux *http.ServeMux, path string, handle func(context.Context, *Q) (A, error)) {
	serve := func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		reply, err := handle(ctx, request.Msg)
		var overloaded OverloadedError
		switch {
		case errors.As(err, &overloaded):
			return nil, connect.NewError(connect.CodeResourceExhausted, err)
		case err != nil:
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&reply), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, serve, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes)))
}

func requireSecret(secret string, next http.Handler) http.Handler {
	want := []byte("Bearer " + secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the peers' secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
