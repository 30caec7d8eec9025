package chivesync

import (
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
)

// TestVMsReturnsCopy has two readers of the list append to what they got.
func TestVMsReturnsCopy(t *testing.T) {
	l := &Linker{vms: make([]chivevm.VM, 1, 8)}
	a := append(l.VMs(), chivevm.VM{Name: "a"})
	b := append(l.VMs(), chivevm.VM{Name: "b"})
	if a[1].Name != "a" || b[1].Name != "b" {
		t.Fatalf("readers share their lists: %v, %v", a, b)
	}
}
