package rattandaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A peerLink calls other daemons. It finds their addresses by the names of their VMs.
type peerLink struct {
	client  PeerClient
	members *rattanmember.Registry
}

var (
	_ rattanshare.Peers       = (*peerLink)(nil)
	_ rattanservice.Forwarder = (*peerLink)(nil)
)

// errUnknownPeer is returned for a VM without a known daemon.
var errUnknownPeer = errors.New("no daemon is known on the VM")

func (p *peerLink) call(ctx context.Context, vm string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	member, ok := p.members.Member(vm)
	if !ok {
		return nil, errUnknownPeer
	}
	return p.client.Call(ctx, member.Addresses.Peer, frame)
}

// Borrow implements rattanshare.Peers.
func (p *peerLink) Borrow(ctx context.Context, request rattanshare.BorrowRequest) (rattanshare.Loan, error) {
	wire := &rattanv1.BorrowRequest{
		FromVm:           request.VM,
		FromIncarnation:  request.Incarnation,
		Share:            request.Share,
		Loan:             request.LoanID,
		RateMilli:        uint64(request.Rate),
		BurstMilli:       uint64(request.Burst),
		TokensMilli:      uint64(request.Tokens),
		SettingsRevision: request.SettingsDigest,
		RosterRevision:   request.RosterRevision,
	}
	response, err := p.call(ctx, request.Lender, &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_BorrowRequest{BorrowRequest: wire}})
	if err != nil {
		return rattanshare.Loan{}, err
	}
	loan := response.GetBorrowResponse()
	return rattanshare.Loan{
		ID:     loan.GetLoan(),
		Amount: rattanshare.Amount{Rate: int64(loan.GetRateMilli()), Burst: int64(loan.GetBurstMilli())},
		Tokens: int64(loan.GetTokensMilli()),
		TTL:    time.Duration(loan.GetTtlMs()) * time.Millisecond,
	}, nil
}

// Return implements rattanshare.Peers.
func (p *peerLink) Return(ctx context.Context, back rattanshare.LoanReturn) error {
	wire := &rattanv1.ReturnLoanRequest{
		FromVm:          back.VM,
		FromIncarnation: back.Incarnation,
		Share:           back.Share,
		Loan:            back.LoanID,
		TokensMilli:     uint64(back.Tokens),
	}
	_, err := p.call(ctx, back.Lender, &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ReturnLoanRequest{ReturnLoanRequest: wire}})
	return err
}

// Forward implements rattanservice.Forwarder.
func (p *peerLink) Forward(ctx context.Context, vm string, request *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, error) {
	frame, err := p.call(ctx, vm, &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ForwardRequest{ForwardRequest: request}})
	if err != nil {
		return nil, forwardRefusal(vm, err)
	}
	response := frame.GetForwardResponse()
	if response.GetRefusal() != nil {
		return nil, rattanerr.RefusalFromWire(response.GetRefusal())
	}
	if !answersForward(request, response) {
		return nil, rattanerr.NewUnknown(rattanv1.Reason_REASON_TRANSACTION_LOST, request.GetRequestId(),
			"VM %s, which owns the transaction, sent an answer that is not whole", vm)
	}
	return response, nil
}

// answersForward reports whether response is a whole answer to the forwarded call: a
// statement has a result, a commit its request identifier and its position.
func answersForward(request *rattanv1.ForwardRequest, response *rattanv1.ForwardResponse) bool {
	hasResult := response.GetResult() != nil
	isCommitted := response.GetGroup() != "" && response.GetPosition().GetIndex() > 0
	return response != nil &&
		hasResult == (request.GetStatement() != nil) &&
		isCommitted == (request.GetRequestId() != "") &&
		response.GetRequestId() == request.GetRequestId()
}

// forwardRefusal returns the refusal for a forwarded call of a transaction that
// failed. A call that was never sent has certainly not run; of any other it is
// unknown.
func forwardRefusal(vm string, err error) error {
	if errors.Is(err, errUnknownPeer) || errors.Is(err, rattanlink.ErrBackoff) {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_TRANSACTION_LOST, 0, "VM %s, which owns the transaction, cannot be reached", vm)
	}
	return rattanerr.NewUnknown(rattanv1.Reason_REASON_TRANSACTION_LOST, "", "VM %s, which owns the transaction, did not answer", vm)
}

// registerHandlers registers the handlers of all frames from other daemons.
func (d *Daemon) registerHandlers(server PeerServer) {
	server.Handle(rattanlink.KindSync, d.gossipRunner.Handle)
	server.Handle(rattanlink.KindBorrow, d.handleBorrow)
	server.Handle(rattanlink.KindReturnLoan, d.handleReturn)
	server.Handle(rattanlink.KindForward, d.handleForward)
	server.Handle(rattanlink.KindLoad, d.handleLoad)
}

func (d *Daemon) handleBorrow(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	wire := frame.GetBorrowRequest()
	loan := d.roster.Manager().HandleBorrow(rattanshare.BorrowRequest{
		VM:             wire.GetFromVm(),
		Incarnation:    wire.GetFromIncarnation(),
		Share:          wire.GetShare(),
		LoanID:         wire.GetLoan(),
		Amount:         rattanshare.Amount{Rate: int64(wire.GetRateMilli()), Burst: int64(wire.GetBurstMilli())},
		Tokens:         int64(wire.GetTokensMilli()),
		SettingsDigest: wire.GetSettingsRevision(),
		RosterRevision: wire.GetRosterRevision(),
	})
	response := &rattanv1.BorrowResponse{
		Loan:        loan.ID,
		RateMilli:   uint64(loan.Rate),
		BurstMilli:  uint64(loan.Burst),
		TokensMilli: uint64(loan.Tokens),
		TtlMs:       uint32(loan.TTL.Milliseconds()),
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_BorrowResponse{BorrowResponse: response}}, nil
}

func (d *Daemon) handleReturn(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	wire := frame.GetReturnLoanRequest()
	d.roster.Manager().HandleReturn(rattanshare.LoanReturn{
		VM:          wire.GetFromVm(),
		Incarnation: wire.GetFromIncarnation(),
		Share:       wire.GetShare(),
		LoanID:      wire.GetLoan(),
		Tokens:      int64(wire.GetTokensMilli()),
	})
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ReturnLoanResponse{ReturnLoanResponse: &rattanv1.ReturnLoanResponse{}}}, nil
}

func (d *Daemon) handleForward(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	response := d.callers.HandleForward(ctx, frame.GetForwardRequest())
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_ForwardResponse{ForwardResponse: response}}, nil
}
