package chiveplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

const (
	// scoutPort and rankPort are the ports of a scout and of the rank beside it.
	scoutPort = 21050
	rankPort  = 21051
	// rankReport is what the rank reports.
	rankReport = `{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"step":1,"map":0,"pace":1}`
)

// Scout is the process of a scout beside the stand-in of a rank.
type Scout struct {
	IP string

	cmd  *exec.Cmd
	rank *http.Server
	// done is closed when the process has exited.
	done chan struct{}
}

// StartScout starts a scout and a rank at an IP address. dir is the directory of its settings, program
// the path of the daemon. memoryMB is the limit on memory in its settings and files that of the
// process on open files, each 0 for none.
func StartScout(dir, program, ip string, memoryMB, files int) (*Scout, error) {
	s := &Scout{IP: ip, done: make(chan struct{})}
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, rankPort))
	if err != nil {
		return nil, err
	}
	s.rank = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A write fails only if the scout has ended.
		_, _ = io.WriteString(w, rankReport)
	})}
	go func() {
		if err := s.rank.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic("chiveplatform: rank stopped: " + err.Error())
		}
	}()
	path := filepath.Join(dir, "scout.json")
	data, err := json.Marshal(map[string]any{
		"node-name": "scout", "ip": ip, "internal-ports": []int{scoutPort, scoutPort}, "app": l.Addr().String(),
		"limits": map[string]any{"memory-mb": memoryMB},
	})
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err == nil {
		s.cmd = limitedCommand(program, files)
		s.cmd.Env, s.cmd.Stderr = append(os.Environ(), "CHIVEYOKE_NODE_FILE="+path), os.Stderr
		err = s.cmd.Start()
	}
	if err != nil {
		return nil, errors.Join(err, s.rank.Close())
	}
	go func() {
		// Running reports that it has ended.
		_ = s.cmd.Wait()
		close(s.done)
	}()
	return s, nil
}

// Address returns the address at which the scout serves.
func (s *Scout) Address() string {
	return fmt.Sprintf("%s:%d", s.IP, scoutPort)
}

// PID returns the ID of the process.
func (s *Scout) PID() int {
	return s.cmd.Process.Pid
}

// Running reports whether the process runs.
func (s *Scout) Running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// Close kills the process and closes the rank.
func (s *Scout) Close() error {
	// It fails only if the process has ended.
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	<-s.done
	return s.rank.Close()
}
