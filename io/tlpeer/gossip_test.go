package tlpeer

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// node is one instance with gossip.
type node struct {
	mesh     *Mesh
	gossip   *Gossip
	counters *counts
	draining atomic.Bool
}

func newNode(t *testing.T, name string, changes ...change) *node {
	t.Helper()
	n := &node{}
	n.mesh, n.counters = newMesh(t, name, changes...)
	n.gossip = NewGossip(n.mesh, GossipOptions{
		Timeouts: tlmember.Timeouts{SuspectAfter: 200 * time.Millisecond, GoneAfter: 400 * time.Millisecond},
		LocalState: func() LocalState {
			return LocalState{Open: len(name), Draining: n.draining.Load(), Pools: []tlwire.PoolSummary{{Pool: "pool-" + name, Waiting: 7}}}
		},
	})
	n.mesh.Start()
	n.gossip.Start()
	return n
}

func newNodes(t *testing.T, count int) []*node {
	t.Helper()
	var nodes []*node
	var meshes []*Mesh
	for i := range count {
		n := newNode(t, fmt.Sprintf("n%02d", i))
		nodes, meshes = append(nodes, n), append(meshes, n.mesh)
	}
	l := introduce(meshes...)
	for _, n := range nodes {
		n.gossip.SetInstances(l)
	}
	return nodes
}

const patience = 10 * time.Second

func TestGossipSpreadsLoadsPoolsAndDrains(t *testing.T) {
	nodes := newNodes(t, 7)
	require.Eventually(t, func() bool {
		s, _, ok := nodes[0].gossip.Summary("pool-n03")
		l, _, heard := nodes[0].gossip.Load("n05")
		return ok && heard && s.Waiting == 7 && l.Open == 3
	}, patience, 5*time.Millisecond)
	nodes[3].draining.Store(true)
	for _, n := range nodes[:3] {
		require.Eventually(t, func() bool { return len(n.gossip.Live()) == 6 }, patience, 5*time.Millisecond)
	}
}

func TestGossipFindsADeadInstanceAndItsReturn(t *testing.T) {
	nodes := newNodes(t, 5)
	dead := nodes[2]
	dead.mesh.Close()
	<-dead.mesh.Done()
	for _, i := range []int{0, 1, 3, 4} {
		g := nodes[i].gossip
		require.Eventually(t, func() bool { return len(g.Live()) == 4 }, patience, 5*time.Millisecond)
		require.Eventually(t, func() bool { return g.OwnerLiveness("n02", 1) == tlmember.Gone }, patience, 5*time.Millisecond)
	}
	back := newNode(t, "n02", func(o *Options) { o.Incarnation = 2 })
	meshes := []*Mesh{nodes[0].mesh, nodes[1].mesh, back.mesh, nodes[3].mesh, nodes[4].mesh}
	l := introduce(meshes...)
	for _, n := range []*node{nodes[0], nodes[1], back, nodes[3], nodes[4]} {
		n.gossip.SetInstances(l)
	}
	for _, i := range []int{0, 1, 3, 4} {
		g := nodes[i].gossip
		require.Eventually(t, func() bool { return len(g.Live()) == 5 }, patience, 5*time.Millisecond)
		assert.Equal(t, tlmember.Gone, g.OwnerLiveness("n02", 1), "its earlier life")
		assert.Equal(t, tlmember.Alive, g.OwnerLiveness("n02", 2))
	}
}

func TestAWrongDoubtIsRefuted(t *testing.T) {
	nodes := newNodes(t, 5)
	nodes[0].gossip.Unreachable("n03")
	assert.Len(t, nodes[0].gossip.Live(), 4)
	require.Eventually(t, func() bool { return len(nodes[0].gossip.Live()) == 5 }, patience, time.Millisecond)
	assert.Equal(t, tlmember.Alive, nodes[0].gossip.OwnerLiveness("n03", 1))
	assert.Positive(t, nodes[0].counters.of(countDoubted))
}
