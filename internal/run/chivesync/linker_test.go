package chivesync

import (
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
)

// TestVMsReturnsCopy checks that two callers can append to their lists without
// overwriting each other's entries in a shared array.
func TestVMsReturnsCopy(t *testing.T) {
	l := &Linker{vms: make([]chivevm.VM, 1, 8)}
	a := append(l.VMs(), chivevm.VM{Name: "a"})
	b := append(l.VMs(), chivevm.VM{Name: "b"})
	if a[1].Name != "a" || b[1].Name != "b" {
		t.Fatalf("callers share one array: %v, %v", a, b)
	}
}
