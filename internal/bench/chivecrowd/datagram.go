package chivecrowd

import (
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// datagrams is the number of datagrams of one client of Pelt, maxDatagram the size of the
	// largest in bytes.
	datagrams   = 400
	maxDatagram = 1400
)

// Pelt has n clients send datagrams that are drawn at random to an address. A quarter begins like the
// first packet of a QUIC connection.
func Pelt(n int, address string) {
	// The first bytes of a long header of QUIC version 1 with IDs of 8 bytes.
	initial := []byte{0xc3, 0, 0, 0, 1, 8}
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			c, err := net.Dial("udp", address)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for k := range datagrams {
				data := make([]byte, 1+random.IntN(maxDatagram))
				if k%4 == 0 {
					data = make([]byte, maxDatagram)
				}
				for j := range data {
					data[j] = byte(random.Uint32())
				}
				if k%4 == 0 {
					copy(data, initial)
					data[14] = 8
				}
				// Datagrams may be lost.
				_, _ = c.Write(data)
			}
		})
	}
	group.Wait()
}
