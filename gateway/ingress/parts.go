package ingress

import "net/http"

// sharedParts returns the ids of the prompt's parts that other requests may hold too. The last
// part belongs to the request or its session.
func (x *exchange) sharedParts() []string {
	if len(x.info.PromptParts) < 2 {
		return nil
	}
	out := make([]string, 0, len(x.info.PromptParts)-1)
	for _, p := range x.info.PromptParts[:len(x.info.PromptParts)-1] {
		out = append(out, p.ID)
	}
	return out
}

// recordBegun records that the target's answer got beyond its beginning.
func (x *exchange) recordBegun(status int) {
	if x.began || status != http.StatusOK {
		return
	}
	x.began = true
}
