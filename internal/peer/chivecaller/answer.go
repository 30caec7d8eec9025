package chivecaller

// GatewayAddresses is the answer to a request for the gateways of a workspace.
type GatewayAddresses struct {
	// Addresses holds the addresses that the workspace should use, best first.
	Addresses []string `json:"addresses"`
	// Lifetime is the number of seconds for which the caller may cache the answer.
	Lifetime float64 `json:"lifetime"`
}

// MintedKey is the answer to a request for a new idempotency key.
type MintedKey struct {
	Key string `json:"key"`
}

// Models is the list of models that requests may name.
type Models struct {
	// Object is "list".
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is an entry in the list of models.
type Model struct {
	ID string `json:"id"`
	// Object is "model".
	Object string `json:"object"`
}
