package chivecrowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// bytesPerKB is the number of bytes in a kB of /proc/PID/status.
const bytesPerKB = 1024

// Usage is what a process uses.
type Usage struct {
	// Peak is the most memory that it has had, Unread the number of bytes that wait for it at its
	// sockets, both in bytes.
	Peak, Unread int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// Memory returns the bytes that count as the memory of the process.
func (u Usage) Memory() int64 {
	return u.Peak + u.Unread
}

// ReadUsage returns what the process with an ID uses. ip is the address of its sockets. It returns
// an error if the process has ended.
func ReadUsage(pid int, ip string) (Usage, error) {
	var u Usage
	var err error
	if u.Peak, err = readPeak(pid); err != nil {
		return u, err
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(list)
	u.Unread, err = readUnread(pid, ip)
	return u, err
}

const (
	// settleInterval is the time between two readings of Settle, settleReadings the number of
	// equal ones after which a process counts as done, and maxReadings the most that are made.
	settleInterval = 100 * time.Millisecond
	settleReadings = 8
	maxReadings    = 100
)

// Settle returns what a process uses once it has done what it does with the bytes that it got, as
// far as equal readings tell. Its parameters and errors are those of ReadUsage.
func Settle(pid int, ip string) (Usage, error) {
	var last Usage
	for n, equal := 0, 0; n < maxReadings && equal < settleReadings; n++ {
		u, err := ReadUsage(pid, ip)
		if err != nil {
			return u, err
		}
		if u.Memory() == last.Memory() {
			equal++
		} else {
			equal = 0
		}
		last = u
		time.Sleep(settleInterval)
	}
	return last, nil
}

// readPeak returns the most memory that a process has had.
func readPeak(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kb * bytesPerKB, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// readUnread returns the number of bytes that wait at the connections with a local address. The
// receive queue of a socket that listens counts connections and is left out.
func readUnread(pid int, ip string) (int64, error) {
	const (
		columnLocal, columnState, columnQueues = 1, 3, 4
		stateListen                            = "0A"
		hex, queueBits                         = 16, 64
	)
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	local := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(net.ParseIP(ip).To4()))
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnQueues || !strings.HasPrefix(columns[columnLocal], local) || columns[columnState] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(columns[columnQueues], ":")
		n, err := strconv.ParseInt(queue, hex, queueBits)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, lines.Err()
}
