package relay

import "cmp"

// This file holds whether clients are served, and the ways in which the client side stops serving them.

// setServing records whether connections are accepted.
func (c *clients) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
}

// ready reports whether clients are served.
func (c *clients) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving && !c.draining()
}

// draining reports whether each connection is closed once it has no request in flight. The caller holds mu.
func (c *clients) draining() bool { return c.drained || c.shuttingDown }

// drainReason returns why the relay closes client connections, or an empty string where it does not.
func (c *clients) drainReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handedOver: // the successor process serves clients, so the relay as a whole is not draining
		return ""
	case c.shuttingDown:
		return "ending"
	case c.drained:
		return "drained"
	}
	return ""
}

// notReadyReason returns why clients are not served.
func (c *clients) notReadyReason() string {
	c.mu.Lock()
	handedOver := c.handedOver
	c.mu.Unlock()
	if handedOver {
		return "handed over"
	}
	return cmp.Or(c.drainReason(), "starting")
}

// shutDown closes the client side: idle connections at once, and each of the others after its reply.
func (c *clients) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.closeIdleConns()
}

// handOver closes the client side of this process, while its successor serves clients.
func (c *clients) handOver() {
	c.mu.Lock()
	c.handedOver = true
	c.mu.Unlock()
	c.shutDown()
}

// count returns the number of connections, closing ones included.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// drain closes the client connections as shutDown does, but can be undone. Messages accepted before are delivered as
// usual.
func (c *clients) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = true
	c.closeIdleConns()
}

// undrain ends the effect of drain. It reports false where the client side is shutting down.
func (c *clients) undrain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = false
	return !c.shuttingDown
}

// closeIdleConns closes the connections that have no request in flight. A connection without a command so far is kept
// until its first command is answered or firstCommandTimeout has passed. The caller holds mu.
func (c *clients) closeIdleConns() {
	for cc := range c.conns {
		if cc.inFlight == 0 && cc.sentCommand {
			cc.beginClose()
		}
	}
}

// isClosing reports whether the relay itself ended the reading of a connection. Its client is still there then, and a
// request that was read is answered.
func (c *clients) isClosing(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cc.closing
}
