// Package chiveadmit decides which requests a service takes while it has too little room
// for all of them.
package chiveadmit

import "time"

// Demand describes what a request asks of a service.
type Demand struct {
	// Urgency is the priority of the request, 0 for the most urgent.
	Urgency int
	// Work is the expected work of the request in multiples of a usual request of the
	// service, above 0.
	Work float64
	// OverShare reports whether the workspace of the request recently got more than its
	// share of the service.
	OverShare bool
	// Resumed reports whether the request continues an answer of which its caller has a part.
	// It is admitted: a refusal would break that answer.
	Resumed bool
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
}

// Room is what is known of the capacity of a service.
type Room struct {
	// Limit is the work that the runners of the service may hold at a time, in usual
	// requests.
	Limit float64
	// Held is the work that they hold now, projected from the reports of all entry VMs.
	Held float64
	// Rate is the work per second that ends at the service.
	Rate float64
	// Age is the age of the oldest report on which Held rests.
	Age time.Duration
}

// Admission is the decision on a request.
type Admission struct {
	// Admitted reports whether the request may be sent to a runner now.
	Admitted bool
	// RetryAfter is when a refused request is likely to find room, 0 if that is not known.
	RetryAfter time.Duration
	// Reason tells why the request was refused, for logs; it is empty if it was admitted.
	Reason string
}
