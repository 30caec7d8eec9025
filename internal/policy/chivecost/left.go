package chivecost

const (
	// An answer that outlasts its estimate is expected to take minLeft of the estimate and
	// outlastLeft of what is beyond it.
	minLeft     = 0.1
	outlastLeft = 0.25
)

// Left returns the work that is left of a request after tokens of its answer have been
// written, above 0. Until a prompt is read its work is left, too.
func (s *Scale) Left(x Estimate, written float64, read bool) float64 {
	if !s.Valid() || x.Answer == 0 {
		return x.Work
	}
	written = size(written, s.UsualAnswer)
	tokens := max(x.Answer-written, minLeft*x.Answer+outlastLeft*max(0, written-x.Answer))
	if !read {
		return s.Work(x.Prompt, tokens)
	}
	return s.writeWork(x.Prompt, tokens)
}
