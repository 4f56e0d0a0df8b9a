package rattangossip

// A Peer is another daemon as an exchange sees it. A seed of the settings has
// an Address only.
type Peer struct {
	VM            string
	Incarnation   uint64
	FailureDomain string
	// Address is the peer address, host:port.
	Address string
}
