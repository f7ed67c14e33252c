package dispatch

import (
	"os"
	"testing"

	"github.com/saffronpulley/saffronpulley/internal/proptest"
)

func TestMain(m *testing.M) {
	proptest.FixSeed()
	proptest.SetChecks("500")
	os.Exit(m.Run())
}
