package estimate

import (
	"os"
	"testing"

	"github.com/saffronpulley/saffronpulley/internal/proptest"
)

func TestMain(m *testing.M) {
	proptest.FixSeed()
	os.Exit(m.Run())
}
