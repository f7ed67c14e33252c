package decision

import (
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
)

// placer is how a column chooses the worker of a batch task.
type placer int

const (
	planned placer = iota
	firstFit
	leastLoaded
)

// Column is one way of deciding; the zero value is ours.
type Column struct {
	name        string
	placer      placer
	options     scheduling.Options
	noBatch     bool
	separate    bool
	noThrottle  bool
	noEvict     bool
	evictBreach bool
	noProbation bool
	noAdmission bool
	noBalance   bool
}

// Name returns the name of the column.
func (c Column) Name() string { return c.name }

// Columns returns ours, the simpler ways, and ours with each part turned off.
func Columns() []Column {
	return []Column{
		{name: "no batch work", noBatch: true},
		{name: "ours"},
		{name: "first fit, declared", placer: firstFit, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "least loaded, declared", placer: leastLoaded, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "static reservation", placer: leastLoaded, separate: true, noThrottle: true, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "throttle only", placer: leastLoaded, noEvict: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "evict on breach", placer: leastLoaded, noThrottle: true, evictBreach: true, noProbation: true, options: scheduling.Options{NoSizing: true}},
		{name: "ours without sizing", options: scheduling.Options{NoSizing: true}},
		{name: "ours without interference", options: scheduling.Options{NoInterference: true}},
		{name: "ours without pressure", options: scheduling.Options{NoBatchBlocking: true}},
		{name: "ours without fairness", options: scheduling.Options{NoFairness: true}},
		{name: "ours without throttle", noThrottle: true},
		{name: "ours without eviction", noEvict: true},
		{name: "ours without probation", noProbation: true},
		{name: "ours without admission", noAdmission: true},
		{name: "ours without balancing", noBalance: true},
	}
}
