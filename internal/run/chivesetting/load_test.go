package chivesetting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func readExample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "ferraro", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestDecodeRejectsBadSettings(t *testing.T) {
	gateway := readExample(t, "gateway.yaml")
	cases := []struct {
		name, old, new, want string
	}{
		{"unknown key", "zone: palermo", "zoo: palermo", `2:1: unknown field "zoo"`},
		{"bad duration", "timeout: 60s", "timeout: soon", `invalid duration "soon"`},
		{"bad address", "caller: 127.1.0.1:8080", "caller: here", `caller: "here" is not IP:port`},
		{"missing key", "name: entry-1\n", "", "name: is missing"},
		{"bad level", "level: info", "level: loud", `log.level: "loud" is not debug, info, warn or error`},
		{"bad token", "sha256:", "md5:", `operators: "md5:`},
		{"no lifetime", "lifetime: 30s", "lifetime: 0s", "lifetime, timeout, grace and lease must be above 0"},
	}
	for _, c := range cases {
		err := Decode([]byte(strings.Replace(gateway, c.old, c.new, 1)), NewGateway())
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestDecodeExamples(t *testing.T) {
	g := NewGateway()
	if err := Decode([]byte(readExample(t, "gateway.yaml")), g); err != nil {
		t.Fatal(err)
	}
	if g.Lifetime.Std() != 30*time.Second || g.Lease.Std() == 0 || g.Name != "entry-1" {
		t.Fatalf("got %+v", g)
	}
	if err := Decode([]byte(readExample(t, "agent.yaml")), NewAgent()); err != nil {
		t.Fatal(err)
	}
}

func TestDecodeEnvironmentOverrides(t *testing.T) {
	t.Setenv("CHIVEYOKE_TABLE_SECRET", "from the environment")
	t.Setenv("CHIVEYOKE_LIFETIME", "7s")
	g := NewGateway()
	if err := Decode([]byte(readExample(t, "gateway.yaml")), g); err != nil {
		t.Fatal(err)
	}
	if g.Table.Secret != "from the environment" || g.Lifetime.Std() != 7*time.Second || g.Table.Access != "chiveyoke" {
		t.Fatalf("got %+v", g)
	}
}
