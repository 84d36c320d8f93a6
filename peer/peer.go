package peer

import (
	"context"
	"net/netip"
)

// Network sends messages to other members; every call fails when the member cannot be reached, and
// then the message may or may not have arrived.
type Network interface {
	Beat(ctx context.Context, to netip.AddrPort, beat Beat) error
	Pull(ctx context.Context, to netip.AddrPort, pull Pull) (Records, error)
	Relay(ctx context.Context, to netip.AddrPort, relay Relay) error
	Reserve(ctx context.Context, to netip.AddrPort, reserve Reserve) (Reserved, error)
	Finish(ctx context.Context, to netip.AddrPort, finish Finish) error
	Recall(ctx context.Context, to netip.AddrPort) (Recalled, error)
	Ask(ctx context.Context, to netip.AddrPort, ask Ask) (Told, error)
}

// Service takes messages from other members.
type Service interface {
	TakeBeat(ctx context.Context, beat Beat) error
	TakePull(ctx context.Context, pull Pull) (Records, error)
	TakeRelay(ctx context.Context, relay Relay) error
	TakeReserve(ctx context.Context, reserve Reserve) (Reserved, error)
	TakeFinish(ctx context.Context, finish Finish) error
	TakeRecall(ctx context.Context) (Recalled, error)
	TakeAsk(ctx context.Context, ask Ask) (Told, error)
}

// Paths of the procedures.
const (
	beatPath    = "/peer/beat"
	pullPath    = "/peer/pull"
	relayPath   = "/peer/relay"
	reservePath = "/peer/reserve"
	finishPath  = "/peer/finish"
	recallPath  = "/peer/recall"
	askPath     = "/peer/ask"
)
