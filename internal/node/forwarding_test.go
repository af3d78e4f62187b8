package node

import (
	"errors"
	"testing"
)

// startChain starts three processes of a node, each of which takes over from the one before, while a payout of the first one
// is in flight.
func startChain(t *testing.T) (chain [3]*nodeProcess, endpoint *fakeEndpoint, answers chan string) {
	endpoint, answers = newSteeredEndpoint(t)
	r, state := newFakeRegistry(t), t.TempDir()
	member := memberJSON("e", endpoint.addr(), 7, "SERVING")
	chain[0] = startProcess(t, r, state, "", member)
	mustAnswer(t, chain[0].addr, enqueueCommand("payout", payoutFields, "x"), "+OK")
	endpoint.nextRequest(t)
	for i := 1; i < len(chain); i++ {
		chain[i] = startProcess(t, r, state, chain[0].addr, member)
		eventually(t, "handed over", func() bool { return chain[i-1].node.NotReadyReason() == stageReasons[stageHandedOver] })
	}
	return chain, endpoint, answers
}

// The outcome of a call of the first process reaches the third, and both others can end. It guards against messages without
// an end, and against processes that never end, after two upgrades within one call.
func TestOutcomePassesAChainOfProcesses(t *testing.T) {
	t.Parallel()
	chain, endpoint, answers := startChain(t)
	answers <- okResponse
	eventually(t, "the outcome", func() bool { return chain[2].node.metrics.ok[2].Load() == 1 })
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("the payout went out %d times", calls)
	}
	for i := len(chain) - 1; i >= 0; i-- {
		chain[i].cancel()
	}
	for _, process := range chain {
		if err := process.wait(t); err != nil && !errors.Is(err, ErrSuccessorGone) {
			t.Error(err)
		}
	}
}

// When the last process of a chain dies while the first one's call hangs, the one before it takes the node back. It guards
// against a node that neither serves nor ends.
func TestChainTakesTheNodeBack(t *testing.T) {
	t.Parallel()
	chain, _, _ := startChain(t)
	chain[1].node.successor.conn.Close() // as if the third process died
	if err := chain[1].wait(t); !errors.Is(err, ErrSuccessorGone) {
		t.Errorf("got %v", err)
	}
}

// When the first process of a chain dies, its calls count as broken for the last one: a payout may have run.
func TestFirstOfAChainDies(t *testing.T) {
	t.Parallel()
	chain, endpoint, _ := startChain(t)
	chain[0].node.successor.conn.Close()
	eventually(t, "the end of the payout", func() bool { return chain[2].node.metrics.activeMessages.Load() == 0 })
	if calls, _ := endpoint.counts(); calls != 1 {
		t.Errorf("the payout went out %d times", calls)
	}
}
