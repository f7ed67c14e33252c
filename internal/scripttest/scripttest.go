package scripttest

import (
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

const suffix = ".txtar"

// Each runs each archive in the package's testdata, of which there must be at least one, as a subtest.
func Each(t *testing.T, run func(t *testing.T, archive *txtar.Archive)) {
	t.Helper()
	files, err := filepath.Glob("testdata/*" + suffix)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), suffix), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			run(t, archive)
		})
	}
}
