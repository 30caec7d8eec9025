package chiveplatform

import "fmt"

// Port is a port of an entry VM at which clients connect.
type Port struct {
	Name, Address string
	// Line is the request line of a proper request without its version, Fields are the lines of
	// its head that it needs beside the host.
	Line, Fields string
}

// PortCallers is the name of the port for requests of callers.
const PortCallers = "callers"

// Ports returns the TCP ports of the entry VM.
func (e *EntryVM) Ports() []Port {
	return []Port{
		{PortCallers, e.CallerAddress(), "POST /any/x", "Authorization: Token k1\r\nChiveyoke-Attempt-Id: crowd\r\nChiveyoke-Deadline-Ms: 60000\r\n"},
		{"directory", e.address(directoryPort), "GET /-/resolve?name=site.example&zone=a", ""},
		{"readiness", e.address(readinessPort), "GET /-/readyz", ""},
		{"replicas", e.address(internalPortMin + 2), "GET /copies?table=op&after=0", ""},
		{"metrics", e.address(internalPortMin + 1), "GET /metrics", ""},
	}
}

// MeshAddress returns the address for datagrams of other entry VMs.
func (e *EntryVM) MeshAddress() string { return e.address(internalPortMin) }

func (e *EntryVM) address(port int) string {
	return fmt.Sprintf("%s:%d", e.IP, port)
}
