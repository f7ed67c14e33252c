package pressure

// sharedImage is the key of the entry shared by all serving images beyond maxServing.
const sharedImage = ""

// entryOf returns the entry of a serving image, which it creates if needed; beyond maxServing all images share one.
func entryOf[T any](entries map[string]*T, serving string, create func() *T) *T {
	entry := entries[serving]
	if entry == nil && len(entries) >= maxServing {
		serving = sharedImage
		entry = entries[serving]
	}
	if entry == nil {
		entry = create()
		entries[serving] = entry
	}
	return entry
}
