package fleet

// Abort ends the node without announcing it, as a crash would, and waits for
// the callbacks. Peers notice by their probes.
func (n *Node) Abort() error {
	n.mu.Lock()
	n.cancel() // under mu: no pull is started after this
	n.mu.Unlock()
	n.deliveries.close()
	err := n.peers.Close()
	n.wg.Wait()
	return err
}
