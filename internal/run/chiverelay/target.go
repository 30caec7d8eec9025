package chiverelay

import (
	"net/http"
	"strings"
)

// requestTarget returns the path of a request and its query, with the question mark, as the caller sent
// them. They are what the runner gets, and no part of them is decoded: an encoded slash separates no
// segments. A target that names a host, as for a proxy, has the path after it.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	at := strings.IndexAny(rest, "/?")
	switch {
	case at < 0:
		return "/"
	case rest[at] == '?':
		return "/" + rest[at:]
	}
	return rest[at:]
}

// requestPath returns the path of a request as the caller sent it, which selects its route.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}
