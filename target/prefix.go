package target

import (
	"encoding/binary"
	"hash/fnv"
)

// PromptBlockBytes is the length of the blocks of a prompt that engines cache.
const PromptBlockBytes = 256

// PrefixHashes returns the hash of each prefix of a prompt that consists of whole
// blocks, the shortest prefix first. Engines identify prefixes by these hashes in
// cache events and KV transfers.
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
