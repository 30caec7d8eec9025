package chiveengine

import (
	"encoding/json"
	"strings"
	"testing"
)

const validRequest = `{"model":"draft","messages":[{"role":"user","content":"hi"}],"max_tokens":10,"temperature":0.5}`

// TestUnmarshalChatRejectsInvalidRequests checks that malformed requests, and requests
// with a field missing or out of range, are refused before they reach an engine, with
// an error that says what is wrong.
func TestUnmarshalChatRejectsInvalidRequests(t *testing.T) {
	cases := []struct {
		name, body, want string
	}{
		{"malformed JSON", `{"model"`, "body is not a chat request"},
		{"array", `[]`, "body is not a chat request"},
		{"no model", `{"messages":[{"role":"user"}]}`, "model is missing"},
		{"no messages", `{"model":"m"}`, "messages holds 0 messages"},
		{"no role", `{"model":"m","messages":[{"content":"x"}]}`, "messages[0].role is missing"},
		{"zero tokens", strings.Replace(validRequest, ":10,", ":0,", 1), "max_tokens is 0"},
		{"negative tokens", strings.Replace(validRequest, ":10,", ":-5,", 1), "max_tokens is -5"},
		{"too many tokens", strings.Replace(validRequest, ":10,", ":99999999,", 1), "max_tokens is 99999999"},
		{"fractional tokens", strings.Replace(validRequest, ":10,", ":1.5,", 1), "body is not a chat request"},
	}
	for _, c := range cases {
		if _, err := UnmarshalChat([]byte(c.body)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := UnmarshalChat([]byte(validRequest)); err != nil {
		t.Error(err)
	}
}

// FuzzUnmarshalChat checks that every accepted request has a model, a message and a
// positive token limit.
func FuzzUnmarshalChat(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := UnmarshalChat(body)
		if err == nil && (c.Model == "" || len(c.Messages) == 0 || c.TokenLimit() < 1) {
			t.Fatalf("accepted %+v", c)
		}
	})
}

// TestContinuationBody checks the request that resumes a broken answer: it must carry
// the partial answer as a message to continue, ask only for the tokens that are still
// missing and keep the other fields of the caller. Otherwise the engine would start
// the answer over or exceed its length.
func TestContinuationBody(t *testing.T) {
	g := Generation{Body: []byte(validRequest), Offset: 4, Partial: "a b c d "}
	body, err := g.requestBody()
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Messages    []struct{ Role, Content string }
		Tokens      int     `json:"max_tokens"`
		Continue    bool    `json:"continue_final_message"`
		Temperature float64 `json:"temperature"`
		Stream      bool
	}
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Messages) != 2 || got.Messages[1].Content != g.Partial || got.Tokens != 6 || !got.Continue || !got.Stream || got.Temperature != 0.5 {
		t.Fatalf("got %s", body)
	}
}
