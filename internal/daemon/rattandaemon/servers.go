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

// operatorShutdownTimeout bounds how long the stop waits for running requests of
// operators. It is long enough for a change that waits for its confirmations.
const operatorShutdownTimeout = 2 * time.Second

// newServers creates the servers on the open listeners.
func (d *Daemon) newServers(l *listeners, security *security) {
	d.peerListener = l.peer
	d.health = grpchealth.NewStaticChecker(rattanv1connect.CallerServiceName)
	callerOptions := append([]rattanlisten.Option{
		rattanlisten.WithConnectionLimit(d.process.Limits().Connections()),
		rattanlisten.WithShutdownTimeout(d.process.Daemon().StopTimeout()),
	}, security.serverOptions()...)
	operatorOptions := append([]rattanlisten.Option{rattanlisten.WithShutdownTimeout(operatorShutdownTimeout)}, security.serverOptions()...)
	d.servers = []*rattanlisten.Server{
		rattanlisten.New("caller", l.caller, d.callerHandler(), callerOptions...),
		rattanlisten.New("operator", l.operator, d.operatorHandler(), operatorOptions...),
	}
	if l.debug != nil {
		d.servers = append(d.servers, rattanlisten.New("debug", l.debug, d.debugHandler()))
	}
}

// compressMinBytes is the smallest response that is compressed. Below it, the
// processor time is not worth the saving: with reads of a few rows, compression
// took 16% of the daemon's processor time.
const compressMinBytes = 4 << 10

// envelopeBytes is the size of the prefix that gRPC puts before a message.
const envelopeBytes = 5

// refuseTooLarge refuses a request whose message is over the limit. Connect's own
// error for it would not contain the refusal that the caller API specifies.
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
