package chivecaller

// GatewayAddresses answers which gateways a workspace is to use, best first.
type GatewayAddresses struct {
	Addresses []string `json:"addresses"`
	// Lifetime is the number of seconds for which the answer may be kept.
	Lifetime float64 `json:"lifetime"`
}

// A MintedKey is an idempotency key that the system made.
type MintedKey struct {
	Key string `json:"key"`
}

// Models lists the models that may be asked for.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// A Model is one model.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}
