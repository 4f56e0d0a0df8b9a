package rattanlink

import "context"

// ping is one ping of a session. done is closed when it has ended; err is valid then.
type ping struct {
	done chan struct{}
	err  error
}

// Answers reports whether the daemon at address answers over the open session before ctx
// ends. It opens no session: without one it returns false.
func (c *Client) Answers(ctx context.Context, address string) bool {
	p, err := c.peer(address)
	if err != nil {
		return false
	}
	defer p.release()
	running := p.startPing()
	if running == nil {
		return false
	}
	select {
	case <-running.done:
		return running.err == nil
	case <-ctx.Done():
		return false
	}
}

// startPing pings the open session, unless a ping is running already. It returns nil when
// there is no session.
func (p *peer) startPing() *ping {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ping != nil {
		return p.ping
	}
	if p.closed || p.current == nil || p.current.IsClosed() {
		return nil
	}
	running := &ping{done: make(chan struct{})}
	p.ping = running
	session := p.current
	p.client.running.Go(func() { p.runPing(running, session) })
	return running
}

func (p *peer) runPing(running *ping, session *clientSession) {
	_, running.err = session.Ping()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ping = nil
	close(running.done)
}
