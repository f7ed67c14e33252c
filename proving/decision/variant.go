package decision

import (
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
)

// placer is how a variant selects the worker of a batch task.
type placer int

const (
	scheduler placer = iota
	firstFit
	leastLoaded
)

// Variant is a variant of the policies, by default the product's own without changes.
type Variant struct {
	name             string
	placer           placer
	options          scheduling.Options
	noBatch          bool
	dedicated        bool
	noThrottle       bool
	noEvict          bool
	evictOnViolation bool
	noProbation      bool
	noAdmission      bool
	noBalancing      bool
}

// Name returns the name of the variant, which the bench command calls a column.
func (v Variant) Name() string { return v.name }

// Variants returns the product's policies, simpler ones for comparison, and the product's with each part turned off.
func Variants() []Variant {
	return []Variant{
		{name: "no batch work", noBatch: true},
		{name: "ours"},
		{name: "first fit, declared", placer: firstFit, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "least loaded, declared", placer: leastLoaded, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "static reservation", placer: leastLoaded, dedicated: true, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "throttle only", placer: leastLoaded, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "evict on breach", placer: leastLoaded, noThrottle: true, evictOnViolation: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "ours without sizing", options: scheduling.Options{NoSizing: true}},
		{name: "ours without interference", options: scheduling.Options{NoInterference: true}},
		{name: "ours without pressure", options: scheduling.Options{NoBatchBlocking: true}},
		{name: "ours without fairness", options: scheduling.Options{NoFairness: true}},
		{name: "ours without throttle", noThrottle: true},
		{name: "ours without eviction", noEvict: true},
		{name: "ours without probation", noProbation: true},
		{name: "ours without admission", noAdmission: true},
		{name: "ours without balancing", noBalancing: true},
	}
}
