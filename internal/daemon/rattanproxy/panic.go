package rattanproxy

import "runtime/debug"

// recoverPanic keeps a panic in one unit of work, for example a session, from ending
// the daemon. It is deferred around that work.
func (p *Proxy) recoverPanic(unit string) {
	if cause := recover(); cause != nil {
		p.logPanic(unit, cause, string(debug.Stack()))
	}
}

func (p *Proxy) logPanic(unit string, cause any, stack string) {
	p.logger.Error("panic", "in", unit, "cause", cause, "stack", stack)
}
