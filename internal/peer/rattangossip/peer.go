package rattangossip

// A Peer is a daemon that takes part in exchanges. Of a configured seed only the
// Address is known.
type Peer struct {
	VM            string
	Incarnation   uint64
	FailureDomain string
	// Address is the peer address, host:port.
	Address string
}
