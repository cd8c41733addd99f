package engine

import (
	"hash/fnv"
	"strings"
)

// DefaultMaxTokens is the number of output tokens if the request has no max_tokens.
const DefaultMaxTokens = 16

// words has 64 entries, so that six bits of a hash select one.
var words = strings.SplitAfter("fish salt tin oil sea net boat wave crew dock port tide gull reef kelp sand "+
	"wind rain moon star dawn dusk mist foam hull mast sail rope knot hook line bait "+
	"cod eel ray crab clam prawn squid trout perch pike carp bass sole hake ling bream "+
	"ice snow fjord cliff cape bay isle shoal buoy lamp fog bell chart helm keel stern ", " ")

// ExpectedText returns the text of the response to a request. It depends only on the
// request id, the prompt and the length, so that a caller can verify that it received
// the complete response to its own request. maxTokens 0 means DefaultMaxTokens.
func ExpectedText(id, prompt string, maxTokens int) string {
	return newOutputText(id, prompt, maxTokens).full()
}

// outputText generates the tokens of a response on demand, so that a run that is kept
// for resumption needs little memory.
type outputText struct {
	seed       uint64
	tokenCount int
}

func newOutputText(id, prompt string, maxTokens int) outputText {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(prompt))
	return outputText{seed: h.Sum64(), tokenCount: maxTokens}
}

// token returns the i-th token. One step of splitmix64 selects it from words.
func (t outputText) token(i int) string {
	x := t.seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return words[(x^x>>31)>>58]
}

func (t outputText) full() string {
	var b strings.Builder
	for i := range t.tokenCount {
		b.WriteString(t.token(i))
	}
	return b.String()
}

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that the engine builds from the messages of a chat.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt: one per four bytes, rounded
// up.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }
