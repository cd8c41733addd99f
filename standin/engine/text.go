package engine

import (
	"hash/fnv"
	"strings"
)

// DefaultMaxTokens is the length of an answer whose request names none.
const DefaultMaxTokens = 16

// words has 64 entries, so that six bits of a hash select one.
var words = strings.Fields(`fish salt tin oil sea net boat wave crew dock port tide gull reef kelp sand
	wind rain moon star dawn dusk mist foam hull mast sail rope knot hook line bait
	cod eel ray crab clam prawn squid trout perch pike carp bass sole hake ling bream
	ice snow fjord cliff cape bay isle shoal buoy lamp fog bell chart helm keel stern`)

// Expected returns the text of the answer to a request. It depends on the
// request id and the prompt only, so that a caller can verify that it received
// the whole answer to its own request. maxTokens 0 means DefaultMaxTokens.
func Expected(id, prompt string, maxTokens int) string {
	return strings.Join(expectedTokens(id, prompt, maxTokens), "")
}

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that the messages of a chat make.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt: one for each four
// bytes.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

func expectedTokens(id, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(prompt))
	x := h.Sum64()
	tokens := make([]string, maxTokens)
	for i := range tokens {
		x = x*6364136223846793005 + 1442695040888963407
		tokens[i] = words[x>>58] + " "
	}
	return tokens
}
