package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestLargeConfigurationIsNotSentWithPings guards against pings that time out while the leader sends a configuration over a narrow link, and
// start over. Entries of the previous release, which do not request it, still receive it.
func TestLargeConfigurationIsNotSentWithPings(t *testing.T) {
	small, large := make([]byte, maxSharedValue), make([]byte, maxSharedValue+1)
	for name, test := range map[string]struct {
		value    []byte
		ping     link.Ping
		expected link.Offer
	}{
		"small, older entry":     {small, link.Ping{Offer: link.Offer{Revision: 1}}, link.Offer{Revision: 2, Value: small}},
		"small":                  {small, link.Ping{ValueOnRequest: true}, link.Offer{Revision: 2, Value: small}},
		"large, older entry":     {large, link.Ping{}, link.Offer{Revision: 2, Value: large}},
		"large":                  {large, link.Ping{ValueOnRequest: true}, link.Offer{Revision: 2}},
		"known to the entry":     {large, link.Ping{Offer: link.Offer{Revision: 2}}, link.Offer{}},
		"older than the entry's": {small, link.Ping{Offer: link.Offer{Revision: 3}}, link.Offer{Revision: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, newConfigurationOffer(link.Offer{Revision: 2, Value: test.value}, test.ping), test.expected)
		})
	}
}
