package fleet

// Abort stops the node without announcing it, as a crash would, and waits for
// running callbacks to return. Peers detect the failure with their probes.
func (n *Node) Abort() error {
	n.mu.Lock()
	started := n.started
	n.started = false
	n.mu.Unlock()
	if !started {
		return nil
	}
	return n.shutDown()
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
