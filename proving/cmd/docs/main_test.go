package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPagesAreUpToDate(t *testing.T) {
	for name, want := range pages() {
		got, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", name))
		assert.NilError(t, err)
		assert.Equal(t, string(got), want, "run make docs")
	}
}
