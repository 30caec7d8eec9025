// Package chiveverdict defines verdicts, which say whether a request may have run,
// and failures, which carry a verdict and a cause.
package chiveverdict

import "fmt"

// Verdict says whether a request may have run. The zero value, MayHaveRun, is
// always safe to assume.
type Verdict uint8

// The verdicts.
const (
	// MayHaveRun means that the request may or may not have run.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and that no copy of it will.
	NotRun
	// Ran means that the request ran and that its answer is known.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name of the verdict in wire formats. An unknown value has
// the name of MayHaveRun.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[MayHaveRun]
	}
	return verdictNames[v]
}

// MarshalText returns the name of the verdict.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText sets the verdict from its name. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict %q is not one of %v", text, verdictNames)
}
