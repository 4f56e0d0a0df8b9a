package rattandaemon

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"

	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
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
		rattanlisten.WithGrace(d.process.Daemon().StopTimeout()),
	}, security.serverOptions()...)
	operatorOptions := append([]rattanlisten.Option{rattanlisten.WithGrace(operatorGrace)}, security.serverOptions()...)
	d.servers = []*rattanlisten.Server{
		rattanlisten.New("caller", l.caller, d.callerHandler(), callerOptions...),
		rattanlisten.New("operator", l.operator, d.operatorHandler(), operatorOptions...),
	}
	if l.debug != nil {
		d.servers = append(d.servers, rattanlisten.New("debug", l.debug, d.debugHandler()))
	}
}

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rattanv1connect.NewCallerServiceHandler(d.callers,
		connect.WithReadMaxBytes(d.process.Limits().MessageBytes())))
	mux.Handle(grpchealth.NewHandler(d.health))
	return mux
}
