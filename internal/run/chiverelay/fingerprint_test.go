package chiverelay

import "testing"

// TestFingerprint checks that requests have the same fingerprint if and only if they repeat
// alike.
func TestFingerprint(t *testing.T) {
	type request struct{ workspace, method, host, uri, body string }
	first := request{"team", "POST", "site.example", "/a/b", "body"}
	of := func(r request) string { return fingerprint(r.workspace, r.method, r.host, r.uri, []byte(r.body)) }
	tests := []struct {
		give  string
		other request
		same  bool
	}{
		{"the same", first, true},
		{"another spelling of the host", request{"team", "POST", "Site.Example:8080", "/a/b", "body"}, true},
		{"another workspace", request{"other", "POST", "site.example", "/a/b", "body"}, false},
		{"no workspace", request{"", "POST", "site.example", "/a/b", "body"}, false},
		{"another method", request{"team", "PUT", "site.example", "/a/b", "body"}, false},
		{"another host", request{"team", "POST", "other.example", "/a/b", "body"}, false},
		{"another path", request{"team", "POST", "site.example", "/a/c", "body"}, false},
		{"another query", request{"team", "POST", "site.example", "/a/b?c=1", "body"}, false},
		{"another body", request{"team", "POST", "site.example", "/a/b", "other"}, false},
		{"no body", request{"team", "POST", "site.example", "/a/b", ""}, false},
		{"a byte in the next field", request{"tea", "mPOST", "site.example", "/a/b", "body"}, false},
		{"a byte in the body", request{"team", "POST", "site.example", "/a/", "bbody"}, false},
	}
	for _, tt := range tests {
		if same := of(tt.other) == of(first); same != tt.same {
			t.Errorf("%s: same fingerprint %t, want %t", tt.give, same, tt.same)
		}
	}
	if n := len(of(first)); n != 2*fingerprintSize {
		t.Errorf("a fingerprint has %d characters, want %d", n, 2*fingerprintSize)
	}
}
