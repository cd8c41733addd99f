package target

import (
	"encoding/binary"
	"hash/fnv"
)

// BlockBytes is the length of the prompt blocks that engines cache, in bytes.
const PromptBlockBytes = 256

// PrefixHashes returns the hash of each whole-block prefix of a prompt, the
// longest last, as engines name prefixes in cache events and KV transfers.
func PrefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PromptBlockBytes)
	var prev [8]byte
	for len(prompt) >= PromptBlockBytes {
		h := fnv.New64a()
		h.Write(prev[:])
		h.Write(prompt[:PromptBlockBytes])
		sum := h.Sum64()
		hashes = append(hashes, sum)
		binary.BigEndian.PutUint64(prev[:], sum)
		prompt = prompt[PromptBlockBytes:]
	}
	return hashes
}
