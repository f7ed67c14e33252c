package pressure

// sharedImage names the entry of all serving images beyond those that are told apart.
const sharedImage = ""

// entryOf returns the entry of a serving image, a new one where it has none; beyond mostServing images all share one.
func entryOf[T any](entries map[string]*T, serving string, create func() *T) *T {
	entry := entries[serving]
	if entry == nil && len(entries) >= mostServing {
		serving = sharedImage
		entry = entries[serving]
	}
	if entry == nil {
		entry = create()
		entries[serving] = entry
	}
	return entry
}
