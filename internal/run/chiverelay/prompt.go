package chiverelay

import (
	"strconv"
	"unsafe"
)

const (
	// ordinaryParts is the number of parts of a prompt that requestSize has room for.
	ordinaryParts = 64
	// maxLoggedParts is the number of parts of a prompt that a log line names.
	maxLoggedParts = 64
)

// partSize is the memory of a part of a prompt beside that of the head, in bytes.
const partSize = int64(unsafe.Sizeof(""))

// holdParts counts the memory of the parts of the prompt. It returns false if there is no room.
func (x *exchange) holdParts() bool {
	more := len(x.request.Parts) - ordinaryParts
	return more <= 0 || x.holding.addBody(int64(more)*partSize)
}

// loggedParts returns the parts of the prompt for logs: the first ones and the number of the others.
func (x *exchange) loggedParts() []string {
	parts := x.request.Parts
	if len(parts) <= maxLoggedParts {
		return parts
	}
	list := append([]string{}, parts[:maxLoggedParts]...)
	return append(list, "and "+strconv.Itoa(len(parts)-maxLoggedParts)+" more")
}
