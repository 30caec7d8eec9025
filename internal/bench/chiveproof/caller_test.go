package chiveproof

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// invalidRequestsNet is the second byte of the loopback addresses of
// TestInvalidRequests. TestCallerDisconnects uses the next lower value.
const invalidRequestsNet = 99

// startFleet starts a fleet that is killed when the test ends.
func startFleet(t *testing.T, net, gateways, runners int) *chiveharness.Fleet {
	t.Helper()
	buildPrograms(t)
	ctx, cancel := waitContext()
	defer cancel()
	f, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.SmallSheet(net, runners), Net: net, Gateways: gateways, Bin: binDir, Dir: t.TempDir(), AddressLifetime: addressLifetime,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// TestInvalidRequests checks that invalid requests are refused with the standard
// error body and the verdict not-run, and that no engine starts them.
func TestInvalidRequests(t *testing.T) {
	f := startFleet(t, invalidRequestsNet, 1, 1)
	const chat, order = "/v1/chat/completions", "/v1/services/orders/orders"
	good := string(chiveharness.ChatBody("draft", "hi", 4, true))
	cases := []struct {
		name, path, key, body, header, value string
		status                               int
		code                                 chiveverdict.Code
	}{
		{"malformed JSON", chat, "demo-large", `{"model":`, "", "", 400, chiveverdict.CodeInvalid},
		{"empty body", chat, "demo-large", "", "", "", 400, chiveverdict.CodeInvalid},
		{"oversized body", chat, "demo-large", strings.Repeat("x", 2<<20), "", "", 400, chiveverdict.CodeInvalid},
		{"no key", chat, "", good, "", "", 401, chiveverdict.CodeKey},
		{"wrong key", chat, "wrong", good, "", "", 401, chiveverdict.CodeKey},
		{"unknown model", chat, "demo-large", strings.Replace(good, "draft", "other", 1), "", "", 404, chiveverdict.CodeModel},
		{"no tokens", chat, "demo-large", strings.Replace(good, `"max_tokens":4`, `"max_tokens":0`, 1), "", "", 400, chiveverdict.CodeInvalid},
		{"absurd tokens", chat, "demo-large", strings.Replace(good, `"max_tokens":4`, `"max_tokens":999999999`, 1), "", "", 400, chiveverdict.CodeInvalid},
		{"bad timeout", chat, "demo-large", good, "X-Request-Timeout", "soon", 400, chiveverdict.CodeInvalid},
		{"negative timeout", chat, "demo-large", good, "X-Request-Timeout", "-1", 400, chiveverdict.CodeInvalid},
		{"unknown service", "/v1/services/none/x", "demo-large", "x", "", "", 404, chiveverdict.CodeModel},
		{"long idempotency key", order, "demo-large", "x", "Idempotency-Key", strings.Repeat("k", 300), 400, chiveverdict.CodeInvalid},
		{"unknown path", "/v2/anything", "demo-large", "x", "", "", 400, chiveverdict.CodeInvalid},
	}
	for _, c := range cases {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.VMs[0].CallerAddress+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		if c.key != "" {
			req.Header.Set("Authorization", "Bearer "+c.key)
		}
		if c.header != "" {
			req.Header.Set(c.header, c.value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var body chivecaller.ErrorBody
		if err := json.Unmarshal(data, &body); err != nil {
			t.Errorf("%s: %v in error body %q", c.name, err, data)
			continue
		}
		if resp.StatusCode != c.status || body.Error.Code != c.code || body.Error.Verdict != chiveverdict.NotRun || body.Error.Message == "" {
			t.Errorf("%s: unexpected status %d or error %+v", c.name, resp.StatusCode, body.Error)
		}
	}
	report, err := f.Report()
	if err != nil {
		t.Fatal(err)
	}
	for name, e := range report.Engines {
		if e.Started > 0 {
			t.Errorf("engine %s started %d invalid requests", name, e.Started)
		}
	}
}

// TestCallerDisconnects checks that engines stop generating for callers that
// disconnect while their answers are streamed.
func TestCallerDisconnects(t *testing.T) {
	f := startFleet(t, invalidRequestsNet-1, 1, 1)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	const callers, tokens = 4, 100_000
	for range callers {
		go func() {
			c := f.NewCaller("large")
			defer c.Close()
			c.Generate(ctx, "draft", "a long story", tokens)
		}()
	}
	waitCtx, cancel := waitContext()
	defer cancel()
	countRunning := func() int {
		report, err := f.Report()
		if err != nil {
			return -1
		}
		n := 0
		for _, e := range report.Engines {
			n += e.Running
		}
		return n
	}
	if err := f.WaitFor(waitCtx, "running streams", func() bool { return countRunning() == callers }); err != nil {
		t.Fatal(err)
	}
	disconnect()
	disconnectedAt := time.Now()
	if err := f.WaitFor(waitCtx, "the engines to stop", func() bool { return countRunning() == 0 }); err != nil {
		t.Fatal(err)
	}
	t.Logf("engines stopped %v after the callers disconnected", time.Since(disconnectedAt).Round(time.Millisecond))
}
