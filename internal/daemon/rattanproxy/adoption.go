package rattanproxy

import (
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// adoptLeadership takes the failover leadership that the store has for this process and its
// lease while the process does not know of it: the answer to the write was lost.
func (p *Proxy) adoptLeadership(held *leadership) bool {
	lease, _ := p.registration.Lease()
	item, ok := p.cache.Item(rattancache.LeaderKey)
	if !ok || lease.IsZero() || item.Lease != lease || p.isStopping() {
		return false
	}
	record, err := rattancache.DecodeLeader(item)
	if err != nil || record.Incarnation != p.registration.incarnation || record.Token < p.newestToken() {
		return false
	}
	if !held.adopt(lease, record.Token, item.Revision) {
		return false
	}
	p.logger.Info("duty_adopted", "token", record.Token)
	return true
}

// adopt sets the leadership unless it is known with this token already.
func (l *leadership) adopt(lease rattankv.Lease, token int64, revision rattankv.Revision) bool {
	l.mu.Lock()
	isKnown := l.token == token
	l.mu.Unlock()
	if isKnown {
		return false
	}
	l.set(lease, token, revision)
	return true
}
