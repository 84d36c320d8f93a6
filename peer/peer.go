package peer

import (
	"context"
	"net/netip"
)

// Network sends messages to other members. A call fails if the member cannot be reached; the message may have arrived
// all the same.
type Network interface {
	Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat Heartbeat) error
	Pull(ctx context.Context, to netip.AddrPort, pull PullRequest) (PullReply, error)
	Relay(ctx context.Context, to netip.AddrPort, relay Relay) error
	Reserve(ctx context.Context, to netip.AddrPort, reserve ReserveRequest) (ReserveReply, error)
	Finish(ctx context.Context, to netip.AddrPort, finish Finish) error
	Recall(ctx context.Context, to netip.AddrPort) (RecallReply, error)
	Task(ctx context.Context, to netip.AddrPort, request TaskRequest) (TaskReply, error)
}

// Service handles messages from other members.
type Service interface {
	HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) error
	HandlePull(ctx context.Context, pull PullRequest) (PullReply, error)
	HandleRelay(ctx context.Context, relay Relay) error
	HandleReserve(ctx context.Context, reserve ReserveRequest) (ReserveReply, error)
	HandleFinish(ctx context.Context, finish Finish) error
	HandleRecall(ctx context.Context) (RecallReply, error)
	HandleTask(ctx context.Context, request TaskRequest) (TaskReply, error)
}

// Paths of the procedures.
const (
	heartbeatPath = "/peer/beat"
	pullPath      = "/peer/pull"
	relayPath     = "/peer/relay"
	reservePath   = "/peer/reserve"
	finishPath    = "/peer/finish"
	recallPath    = "/peer/recall"
	taskPath      = "/peer/ask"
)
