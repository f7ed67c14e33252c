package vmlist

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// oddEntries are entries of other writers: nested too deeply, numbers out of range, values of the wrong type, large and empty ones.
func oddEntries() map[string]string {
	const levels = 100_000
	return map[string]string{
		"nested arrays":      strings.Repeat("[", levels) + strings.Repeat("]", levels),
		"nested objects":     strings.Repeat(`{"rack":`, levels) + "1" + strings.Repeat("}", levels),
		"nested in a field":  `{"instance":"x","hall":"h","rack":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + `,"state":"live"}`,
		"beyond 64 bits":     `{"instance":"x","hall":"h","rack":99999999999999999999,"state":"live"}`,
		"beyond a float":     `{"instance":"x","hall":"h","rack":1e999,"state":"live"}`,
		"fraction":           `{"instance":"x","hall":"h","rack":1.5,"state":"live"}`,
		"wrong type":         `{"instance":7,"hall":"h","rack":1,"state":"live"}`,
		"no object":          `"x"`,
		"a megabyte":         `{"instance":"` + strings.Repeat("x", 1<<20) + `","hall":"h","rack":"one"}`,
		"quotes in a string": `{"instance":"\"],[\\","hall":"h","rack":"]}"}`,
		"empty":              ``,
		"null":               `null`,
		"no name":            `{"hall":"h","rack":1,"state":"live"}`,
		"rack below 1":       `{"instance":"x","hall":"h","rack":-1,"state":"live"}`,
	}
}

// TestOddEntryHidesNoVM guards against a list of VMs that is no longer followed: one entry that cannot be decoded made the whole list unreadable.
func TestOddEntryHidesNoVM(t *testing.T) {
	const valid = `{"instance":"vm-%d","hall":"h","rack":%d,"state":"live"}`
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			body := "[" + fmt.Sprintf(valid, 1, 1) + ", " + odd + " ," + fmt.Sprintf(valid, 2, 12) + "]"
			var skipped []string
			vms, err := decodeList([]byte(body), func(position int, reason error) {
				skipped = append(skipped, fmt.Sprintf("%d %v", position, reason))
			})
			assert.NilError(t, err)
			assert.Equal(t, len(vms), 2)
			assert.Equal(t, vms[0].Instance(), "vm-1")
			assert.Equal(t, vms[1].Cell(), "h-1")
			assert.Equal(t, len(skipped), 1)
			assert.Assert(t, strings.HasPrefix(skipped[0], "1 "), "the entry is named")
		})
	}
}

// TestListThatIsNoArrayIsAnError checks that an answer that was cut off does not pass for a shorter list.
func TestListThatIsNoArrayIsAnError(t *testing.T) {
	for _, body := range []string{"", "nothing", `{"instance":"vm-1","hall":"h","rack":1}`, `[{"instance":"vm-1"`, `[{"instance":"vm-1","hall":"h","rack":1},`} {
		_, err := decodeList([]byte(body), func(int, error) {})
		assert.Assert(t, err != nil, body)
	}
	vms, err := decodeList([]byte(" [ ] "), func(int, error) { t.Error("an empty list has no entry") })
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
}
