package rattandaemon

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// operatorGrace bounds how long an operator's running request may last at the
// stop. It covers a change that waits for its confirmations.
const operatorGrace = 2 * time.Second

// newServers makes the servers on the open listeners.
func (d *Daemon) newServers(l *listeners, security *security) {
	d.peerListener = l.peer
	d.health = grpchealth.NewStaticChecker(rattanv1connect.CallerServiceName)
	callerOptions := append([]rattanlisten.Option{
		rattanlisten.WithConnectionLimit(d.process.Limits().Connections()),
		rattanlisten.WithShutdownTimeout(d.process.Daemon().StopTimeout()),
	}, security.serverOptions()...)
	operatorOptions := append([]rattanlisten.Option{rattanlisten.WithShutdownTimeout(operatorGrace)}, security.serverOptions()...)
	d.servers = []*rattanlisten.Server{
		rattanlisten.New("caller", l.caller, d.callerHandler(), callerOptions...),
		rattanlisten.New("operator", l.operator, d.operatorHandler(), operatorOptions...),
	}
	if l.debug != nil {
		d.servers = append(d.servers, rattanlisten.New("debug", l.debug, d.debugHandler()))
	}
}

// compressMinBytes is the size of an answer from which compression is worth its
// processor time: a read of a few rows spent 16% of the daemon's time in it.
const compressMinBytes = 4 << 10

// envelopeBytes is what gRPC puts in front of a message.
const envelopeBytes = 5

// refuseTooLarge answers a request whose message is over the limit. Connect
// itself would refuse it without the refusal that callers are promised.
func (d *Daemon) refuseTooLarge(w http.ResponseWriter, r *http.Request) {
	refusal := rattanerr.NewNotRun(rattanv1.Reason_REASON_TOO_LARGE, 0,
		"message is larger than %d bytes, the limit of VM %s", d.process.Limits().MessageBytes(), d.self.VM)
	d.callers.WriteRefusal(w, r, refusal)
}

func (d *Daemon) callerHandler() http.Handler {
	limit := d.process.Limits().MessageBytes()
	mux := http.NewServeMux()
	path, callers := rattanv1connect.NewCallerServiceHandler(d.callers,
		connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(path, rattanlisten.LimitBody(callers, limit+envelopeBytes, d.refuseTooLarge))
	mux.Handle(grpchealth.NewHandler(d.health))
	return mux
}
