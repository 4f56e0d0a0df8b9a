package rattanupstream

// A State is the state of an upstream for dumps.
type State struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`
	Busy        int    `json:"busy"`
	Idle        int    `json:"idle"`
	Pinned      int    `json:"pinned"`
	Waiting     int    `json:"waiting"`
	// WaitingByPriority counts the waiting requests, WaitingAccounts the client
	// accounts that they are of.
	WaitingByPriority map[int]int `json:"waiting_by_priority,omitempty"`
	WaitingAccounts   int         `json:"waiting_accounts"`
	ServiceMS         float64     `json:"service_ms"`
	RefusedNoRoom     int         `json:"refused_no_room"`
	RefusedDisplaced  int         `json:"refused_displaced"`
	Position          string      `json:"position"`
	IsSuspect         bool        `json:"suspect"`
	AcceptsNew        bool        `json:"accepts_new"`
}

// State returns the current state.
func (u *Upstream) State() State {
	acceptsNew := u.AcceptsNewStatements()
	u.mu.Lock()
	defer u.mu.Unlock()
	byPriority, accounts := u.queue.WaitingByPriority()
	counts := u.queue.Counts()
	return State{
		WaitingByPriority: byPriority, WaitingAccounts: accounts, ServiceMS: float64(u.queue.ServiceTime().Microseconds()) / 1000,
		RefusedNoRoom: counts.RefusedNoRoom, RefusedDisplaced: counts.RefusedDisplaced,
		ID: u.endpoint.ID, Address: u.endpoint.Address,
		Connections: u.queue.Connections(), Limit: u.queue.Limits().Connections, Busy: u.queue.Busy(), Idle: u.queue.Idle(), Pinned: u.queue.Pinned(), Waiting: u.queue.Waiting(),
		Position: u.knownPosition.String(), IsSuspect: u.reachability.isSuspect(),
		AcceptsNew: acceptsNew,
	}
}
