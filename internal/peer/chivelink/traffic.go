package chivelink

import "github.com/quic-go/quic-go"

// Traffic counts the bytes of UDP payload and the packets that connections have sent
// and received.
type Traffic struct {
	SentBytes       uint64
	ReceivedBytes   uint64
	SentPackets     uint64
	ReceivedPackets uint64
}

// add adds the counts of o to t.
func (t *Traffic) add(o Traffic) {
	t.SentBytes += o.SentBytes
	t.ReceivedBytes += o.ReceivedBytes
	t.SentPackets += o.SentPackets
	t.ReceivedPackets += o.ReceivedPackets
}

// connTraffic returns the traffic of a QUIC connection.
func connTraffic(c *quic.Conn) Traffic {
	s := c.ConnectionStats()
	return Traffic{SentBytes: s.BytesSent, ReceivedBytes: s.BytesReceived, SentPackets: s.PacketsSent, ReceivedPackets: s.PacketsReceived}
}

// traffic returns the connection's traffic, or zero counts while it is being dialed
// and if dialing failed.
func (p *peerConn) traffic() Traffic {
	select {
	case <-p.ready:
	default:
		return Traffic{}
	}
	if p.conn == nil {
		return Traffic{}
	}
	return connTraffic(p.conn)
}
