package chiveengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

// headerFencingToken is the header with the fencing token of an order.
const headerFencingToken = "Fencing-Token"

// RankStatus is the state of the ranks of an engine.
type RankStatus struct {
	// MapDigest is the digest of the expert map in use.
	MapDigest string `json:"map"`
	// Held reports whether the ranks, and thus their whole group, are paused.
	Held bool `json:"held"`
	// Steps is the number of steps since the engine started.
	Steps uint64 `json:"step"`
	// ExpertLoads is the number of tokens routed to each expert of each layer since
	// the last read.
	ExpertLoads [][]uint64 `json:"loads"`
}

// RankStatus reads the state of the ranks. Reading resets the expert loads.
func (c *Client) RankStatus(ctx context.Context) (*RankStatus, error) {
	data, err := c.get(ctx, "/rank")
	if err != nil {
		return nil, err
	}
	r := &RankStatus{}
	return r, Error.Wrap(json.Unmarshal(data, r))
}

// Hold pauses the ranks before their next step.
func (c *Client) Hold(ctx context.Context, fence uint64) error {
	return c.postOrder(ctx, "/rank/hold", fence, "", nil)
}

// StageMap loads the weights of an expert map without using them yet.
func (c *Client) StageMap(ctx context.Context, fence uint64, expertMap []byte) error {
	return c.postOrder(ctx, "/rank/stage", fence, "", expertMap)
}

// SetMap replaces the expert map in use. The ranks must be held.
func (c *Client) SetMap(ctx context.Context, fence uint64, expertMap []byte) error {
	return c.postOrder(ctx, "/rank/set", fence, "", expertMap)
}

// Release resumes the ranks after Hold if they use the map with the given digest.
// Otherwise the engine refuses and they stay paused. An empty digest resumes them
// whatever map they use.
func (c *Client) Release(ctx context.Context, fence uint64, mapDigest string) error {
	return c.postOrder(ctx, "/rank/release", fence, mapDigest, nil)
}

// postOrder sends an order with a fencing token. If mapDigest is not empty, the
// engine refuses the order while it uses another map.
func (c *Client) postOrder(ctx context.Context, path string, fence uint64, mapDigest string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set(headerFencingToken, strconv.FormatUint(fence, 10))
	if mapDigest != "" {
		req.Header.Set("If-Match", strconv.Quote(mapDigest))
	}
	_, err = c.do(req)
	return err
}
