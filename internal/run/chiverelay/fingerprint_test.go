package chiverelay

import "testing"

// TestFingerprints checks which requests are alike: with their queries, without them, or not at all.
func TestFingerprints(t *testing.T) {
	type request struct{ workspace, method, host, uri, body string }
	first := request{"team", "POST", "site.example", "/a/b?c=1", "body"}
	of := func(r request) []string {
		return fingerprints(r.workspace, r.method, r.host, r.uri, []byte(r.body))
	}
	tests := []struct {
		give  string
		other request
		// same reports whether the fingerprints with the query are the same, alike those without.
		same, alike bool
	}{
		{"the same", first, true, true},
		{"another spelling of the host", request{"team", "POST", "Site.Example:8080", "/a/b?c=1", "body"}, true, true},
		{"another query", request{"team", "POST", "site.example", "/a/b?c=2", "body"}, false, true},
		{"no query", request{"team", "POST", "site.example", "/a/b", "body"}, false, true},
		{"an empty query", request{"team", "POST", "site.example", "/a/b?", "body"}, false, true},
		{"another workspace", request{"other", "POST", "site.example", "/a/b?c=1", "body"}, false, false},
		{"no workspace", request{"", "POST", "site.example", "/a/b?c=1", "body"}, false, false},
		{"another method", request{"team", "PUT", "site.example", "/a/b?c=1", "body"}, false, false},
		{"another host", request{"team", "POST", "other.example", "/a/b?c=1", "body"}, false, false},
		{"another path", request{"team", "POST", "site.example", "/a/c?c=1", "body"}, false, false},
		{"another body", request{"team", "POST", "site.example", "/a/b?c=1", "other"}, false, false},
		{"no body", request{"team", "POST", "site.example", "/a/b?c=1", ""}, false, false},
		{"a byte in the next field", request{"tea", "mPOST", "site.example", "/a/b?c=1", "body"}, false, false},
		{"a byte in the body", request{"team", "POST", "site.example", "/a/?c=1", "bbody"}, false, false},
		{"a query in the path", request{"team", "POST", "site.example", "/a/b%3Fc=1", "body"}, false, false},
	}
	ours := of(first)
	if len(ours) != 2 || len(ours[0]) != 2*fingerprintSize+len(withQuery) || len(ours[1]) != 2*fingerprintSize || ours[0] >= ours[1] {
		t.Errorf("fingerprints %q, want two, the one with the query first", ours)
	}
	for _, tt := range tests {
		theirs := of(tt.other)
		if same := theirs[0] == ours[0]; same != tt.same {
			t.Errorf("%s: same %t, want %t", tt.give, same, tt.same)
		}
		if alike := theirs[len(theirs)-1] == ours[1]; alike != tt.alike {
			t.Errorf("%s: alike %t, want %t", tt.give, alike, tt.alike)
		}
	}
	if n := len(of(request{"team", "POST", "site.example", "/a/b", "body"})); n != 1 {
		t.Errorf("%d fingerprints without a query, want 1", n)
	}
}
