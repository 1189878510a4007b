package solo_test

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	openai "github.com/sashabaranov/go-openai"

	"github.com/damaskport/damaskport/internal/role/solo"
)

// TestStockClient uses a client library of the protocol as it comes.
func TestStockClient(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs = 0
	s := start(t, cfg)
	conf := openai.DefaultConfig(s.Key("demo"))
	conf.BaseURL = s.URL() + "/v1"
	client := openai.NewClientWithConfig(conf)
	req := openai.ChatCompletionRequest{
		Model:    solo.Model,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "nonce:lib tokens:12"}},
	}
	whole, err := client.CreateChatCompletion(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want("lib", 12), whole.Choices[0].Message.Content); diff != "" {
		t.Error(diff)
	}
	stream, err := client.CreateChatCompletionStream(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var content strings.Builder
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, ch := range chunk.Choices {
			content.WriteString(ch.Delta.Content)
		}
	}
	if diff := cmp.Diff(want("lib", 12), content.String()); diff != "" {
		t.Error(diff)
	}
	models, err := client.ListModels(t.Context())
	if err != nil || len(models.Models) != 1 || models.Models[0].ID != solo.Model {
		t.Errorf("%+v %v", models, err)
	}
	req.Model = "other"
	var apiErr *openai.APIError
	if _, err := client.CreateChatCompletion(t.Context(), req); !errors.As(err, &apiErr) || apiErr.Code != "modelNotFound" {
		t.Errorf("unknown model: %v", err)
	}
}
