package fleet

// Abort ends the node without announcing it, as a crash would, and waits for
// the callbacks. Peers notice by their probes.
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

// shutDown ends all connections and waits for the callbacks.
func (n *Node) shutDown() error {
	n.mu.Lock()
	n.cancel() // under mu: no pull is started after this
	n.mu.Unlock()
	n.callbacks.close()
	err := n.peers.Close()
	n.wg.Wait()
	return err
}
