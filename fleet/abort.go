package fleet

// Abort stops the node without announcing it, as a crash would, and waits for
// running callbacks to return. Peers detect the failure with their probes.
func (n *Node) Abort() error {
	if !n.markStopped() {
		return nil
	}
	return n.shutDown()
}

// markStopped returns false if the node is not running.
func (n *Node) markStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	wasStarted := n.started
	n.started = false
	return wasStarted
}

// shutDown closes all connections and waits for all goroutines of the node.
func (n *Node) shutDown() error {
	n.mu.Lock()
	n.cancel() // under mu, so that no pull starts after the cancellation
	n.mu.Unlock()
	n.callbacks.close()
	err := n.peers.Close()
	n.wg.Wait()
	return err
}
