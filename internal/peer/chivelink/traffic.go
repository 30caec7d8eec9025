package chivelink

import "github.com/quic-go/quic-go"

// Traffic counts what connections have carried, in UDP payload bytes and in
// packets.
type Traffic struct {
	SentBytes       uint64
	ReceivedBytes   uint64
	SentPackets     uint64
	ReceivedPackets uint64
}

func (t *Traffic) add(o Traffic) {
	t.SentBytes += o.SentBytes
	t.ReceivedBytes += o.ReceivedBytes
	t.SentPackets += o.SentPackets
	t.ReceivedPackets += o.ReceivedPackets
}

func connTraffic(c *quic.Conn) Traffic {
	s := c.ConnectionStats()
	return Traffic{SentBytes: s.BytesSent, ReceivedBytes: s.BytesReceived, SentPackets: s.PacketsSent, ReceivedPackets: s.PacketsReceived}
}

// traffic returns what the connection has carried, nothing while it is dialed.
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
