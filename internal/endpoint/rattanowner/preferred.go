package rattanowner

import "github.com/rattanstream/rattanstream/internal/base/rattanrendezvous"

// Preferred returns the endpoint, of those with the given ids, to which the reads of an
// account go while the room of the endpoints is even, so that each of them has
// connections of few accounts. All daemons make the same choice, and when an endpoint
// comes or goes, only the accounts that prefer it move. It returns "" for no endpoints.
func Preferred(account string, endpoints []string) string {
	if top := rattanrendezvous.Top(endpoints, account, 1); len(top) > 0 {
		return top[0]
	}
	return ""
}
