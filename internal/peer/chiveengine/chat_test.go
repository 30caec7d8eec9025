package chiveengine

import (
	"encoding/json"
	"strings"
	"testing"
)

const valid = `{"model":"draft","messages":[{"role":"user","content":"hi"}],"max_tokens":10,"temperature":0.5}`

func TestUnmarshalChatRefuses(t *testing.T) {
	cases := []struct {
		name, body, want string
	}{
		{"no JSON", `{"model"`, "body is not a chat request"},
		{"array", `[]`, "body is not a chat request"},
		{"no model", `{"messages":[{"role":"user"}]}`, "model is missing"},
		{"no messages", `{"model":"m"}`, "messages holds 0 messages"},
		{"no role", `{"model":"m","messages":[{"content":"x"}]}`, "messages[0].role is missing"},
		{"zero tokens", strings.Replace(valid, ":10,", ":0,", 1), "max_tokens is 0"},
		{"negative tokens", strings.Replace(valid, ":10,", ":-5,", 1), "max_tokens is -5"},
		{"absurd tokens", strings.Replace(valid, ":10,", ":99999999,", 1), "max_tokens is 99999999"},
		{"fractional tokens", strings.Replace(valid, ":10,", ":1.5,", 1), "body is not a chat request"},
	}
	for _, c := range cases {
		if _, err := UnmarshalChat([]byte(c.body)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := UnmarshalChat([]byte(valid)); err != nil {
		t.Error(err)
	}
}

func FuzzUnmarshalChat(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := UnmarshalChat(body)
		if err == nil && (c.Model == "" || len(c.Messages) == 0 || c.TokenLimit() < 1) {
			t.Fatalf("accepted %+v", c)
		}
	})
}

func TestContinuedBody(t *testing.T) {
	g := Generation{Body: []byte(valid), Offset: 4, Partial: "a b c d "}
	body, err := g.requestBody()
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Messages []struct{ Role, Content string }
		Tokens   int     `json:"max_tokens"`
		Continue bool    `json:"continue_final_message"`
		Warmth   float64 `json:"temperature"`
		Stream   bool
	}
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Messages) != 2 || got.Messages[1].Content != g.Partial || got.Tokens != 6 || !got.Continue || !got.Stream || got.Warmth != 0.5 {
		t.Fatalf("got %s", body)
	}
}
