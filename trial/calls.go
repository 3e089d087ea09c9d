package trial

import (
	"context"
	"time"

	"hickorydrum/peer"
	"hickorydrum/roster"
)

const (
	maxSlopeCalls       = 2000
	maxSlopeConnections = 64
)

// nodePair is a client node and a server node that echoes messages.
type nodePair struct {
	client, server *peer.Node
	target         peer.Target
}

// echoMessage is the request and the response of echoCall.
type echoMessage struct {
	From     roster.Member `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Roster   uint64        `cbor:"3,keyasint"`
}

const echoCall peer.Call = "slope"

// newNodePair starts two nodes on loopback addresses.
func newNodePair() (*nodePair, error) {
	now := time.Now()
	authority, err := peer.NewAuthority("slope", now, now.Add(time.Hour))
	if err != nil {
		return nil, err
	}
	node := func(name string) (*peer.Node, error) {
		pair, err := authority.Certify(name, now, now.Add(time.Hour))
		if err != nil {
			return nil, err
		}
		keys, err := peer.NewKeys(string(authority.Cert()), string(pair.Cert()), string(pair.Key()))
		if err != nil {
			return nil, err
		}
		n, err := peer.Listen("127.0.0.1:0", keys)
		if err != nil {
			return nil, err
		}
		n.Handle(echoCall, peer.Unary(func(_ context.Context, _ string, m echoMessage) (echoMessage, error) { return m, nil }))
		n.Serve()
		return n, nil
	}
	nodes := &nodePair{}
	if nodes.client, err = node("client"); err != nil {
		return nil, err
	}
	if nodes.server, err = node("server"); err != nil {
		return nil, err
	}
	nodes.target = peer.NewTarget("server", nodes.server.Addr().String())
	return nodes, nil
}

func (n *nodePair) close() {
	_ = n.client.Close()
	_ = n.server.Close()
}

// measureCalls measures the processor time of both nodes and the bytes sent over
// loopback, by the number of unary calls.
func measureCalls(ctx context.Context) ([]Slope, error) {
	nodes, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	message := echoMessage{From: roster.Member{
		Name: "ct-1-a", Run: "d0a1b2c3d4e5f6g7h8i9", Region: "catania", Domain: "ct-1", Caller: "10.1.1.11:8080",
		Peer: "10.1.1.11:7070", Probe: "10.1.1.11:7071", State: roster.Live,
	}, Revision: 1, Roster: 1}
	cpu := Slope{name: "comparing notes with a peer, both sides", sizeUnit: "call", unit: "µs CPU"}
	bytes := Slope{name: "comparing notes with a peer, both ways", sizeUnit: "call", unit: "bytes"}
	for _, calls := range []int{maxSlopeCalls / 4, maxSlopeCalls / 2, maxSlopeCalls * 3 / 4, maxSlopeCalls} {
		before, sent := cpuTime(), loopbackSentBytes()
		for range calls {
			var resp echoMessage
			if err := nodes.client.Ask(ctx, nodes.target, echoCall, message, &resp); err != nil {
				return nil, err
			}
		}
		cpu.add(calls, float64(cpuTime()-before)/float64(time.Microsecond))
		bytes.add(calls, loopbackSentBytes()-sent)
	}
	return []Slope{cpu, bytes}, nil
}

// measureConnections measures the memory and the traffic of connections with an open
// but idle call, by the number of connections.
func measureConnections(ctx context.Context) ([]Slope, error) {
	nodes, err := newNodePair()
	if err != nil {
		return nil, err
	}
	defer nodes.close()
	memory := Slope{name: "connection with a call under way, both ends", sizeUnit: "connection", unit: "KiB"}
	traffic := Slope{name: "keeping such a connection open, both ways", sizeUnit: "connection", unit: "bytes a second"}
	opened := 0
	before := heapBytes()
	for _, conns := range []int{maxSlopeConnections / 4, maxSlopeConnections / 2, maxSlopeConnections} {
		for ; opened < conns; opened++ {
			s, err := nodes.client.Open(ctx, nodes.target, echoCall) // the connection stays open while the call is
			if err != nil {
				return nil, err
			}
			defer s.Abort()
			nodes.client.Redial(nodes.target)
		}
		memory.add(conns, (heapBytes()-before)/kiB)
		sent, begun := loopbackSentBytes(), time.Now()
		time.Sleep(2 * time.Second)
		traffic.add(conns, (loopbackSentBytes()-sent)/time.Since(begun).Seconds())
	}
	return []Slope{memory, traffic}, nil
}
