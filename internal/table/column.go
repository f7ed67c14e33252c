package table

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

// Column describes a column of the table; the validation and the documentation of the columns are both derived from it.
type Column struct {
	name         string
	unit         string
	allowed      string
	defaultValue string
	kinds        []Kind
	description  string
	read         func(r *Row, cell string) error
	write        func(r Row) string
}

// Name returns the heading of the column.
func (c Column) Name() string { return c.name }

// Unit returns the unit of its cells, empty for none.
func (c Column) Unit() string { return c.unit }

// Allowed describes the allowed values of its cells.
func (c Column) Allowed() string { return c.allowed }

// Default returns the value of an empty cell, empty if a value must be given.
func (c Column) Default() string { return c.defaultValue }

// Description returns what the column controls.
func (c Column) Description() string { return c.description }

// Kinds returns the kinds of rows that the column applies to.
func (c Column) Kinds() []Kind { return c.kinds }

var (
	allKinds    = []Kind{Service, Batch, Team}
	workloads   = []Kind{Service, Batch}
	onlyService = []Kind{Service}
	onlyBatch   = []Kind{Batch}
)

const (
	maxMillis   = 600_000
	maxMinutes  = 10_080
	maxSeconds  = 604_800
	maxMebiByte = 16 << 20
)

// Columns returns the columns in the order of the table.
func Columns() []Column { return columns }

var columns = []Column{
	{
		name: "workload", allowed: "a name of a-z, 0-9 and -, up to 40 long", kinds: allKinds,
		description: "Names the workload; in a team's row, the team.",
		read:        func(r *Row, cell string) error { return readName(&r.workload, cell) },
		write:       func(r Row) string { return r.workload },
	},
	{
		name: "kind", allowed: "service, batch or team", kinds: allKinds,
		description: "Selects what the row describes: a service, a batch workload, or a team with its quota.",
		read:        readKind,
		write:       func(r Row) string { return r.kind.String() },
	},
	{
		name: "team", allowed: "a name of a-z, 0-9 and -, up to 40 long", kinds: allKinds,
		description: "Names the team that the workload belongs to; a team's row repeats its name.",
		read:        func(r *Row, cell string) error { return readName(&r.team, cell) },
		write:       func(r Row) string { return r.team },
	},
	wholeNumber("weight", "", "100", 1, 1000, allKinds,
		"Sets the share of scarce resources: twice the weight gets twice as much, and the lowest weight is refused first.",
		func(r *Row) *int { return &r.weight }),
	{
		name: "processors", unit: "processors", allowed: "0 to 4096, up to three decimals", defaultValue: "0", kinds: allKinds,
		description: "Sets the size of one task; in a team's row its quota in the region, where 0 is no limit.",
		read:        readProcessors,
		write: func(r Row) string {
			return strconv.FormatFloat(float64(r.size.Processors())/resource.MillisPerProcessor, 'f', -1, 64)
		},
	},
	{
		name: "memory_mb", unit: "MiB", allowed: "0 to 16777216", defaultValue: "0", kinds: allKinds,
		description: "Sets the size of one task; in a team's row its quota in the region, where 0 is no limit.",
		read: func(r *Row, cell string) error {
			n, err := readWhole(cell, 0, maxMebiByte)
			r.size = resource.New(r.size.Processors(), int64(n), r.size.Accelerators())
			return err
		},
		write: func(r Row) string { return strconv.FormatInt(r.size.Memory(), 10) },
	},
	{
		name: "accelerators", unit: "accelerators", allowed: "0 to 1024", defaultValue: "0", kinds: allKinds,
		description: "Sets the size of one task; in a team's row its quota in the region, where 0 is no limit.",
		read: func(r *Row, cell string) error {
			n, err := readWhole(cell, 0, 1024)
			r.size = resource.New(r.size.Processors(), r.size.Memory(), int64(n))
			return err
		},
		write: func(r Row) string { return strconv.FormatInt(r.size.Accelerators(), 10) },
	},
	wholeNumber("replicas", "replicas", "1", 0, 4096, onlyService,
		"Sets the number of replicas of the service in the region.", func(r *Row) *int { return &r.replicas }),
	duration("target_ms", "ms", "100", 1, maxMillis, time.Millisecond, onlyService,
		"Sets the latency target for 99 of 100 requests.", func(r *Row) *time.Duration { return &r.target }),
	duration("deadline_min", "minutes", "480", 1, maxMinutes, time.Minute, onlyBatch,
		"Sets the deadline of a job, counted from its submission.", func(r *Row) *time.Duration { return &r.deadline }),
	duration("runtime_s", "seconds", "60", 1, maxSeconds, time.Second, onlyBatch,
		"Declares the run time of one task; measurements correct it.", func(r *Row) *time.Duration { return &r.runtime }),
	wholeNumber("concurrency", "", "8", 1, 4096, workloads,
		"Limits the requests that a replica runs at once, or the tasks of a batch workload that a cell does.",
		func(r *Row) *int { return &r.concurrency }),
	wholeNumber("queue", "requests", "56", 0, 4096, onlyService,
		"Limits the requests that wait at a replica.", func(r *Row) *int { return &r.queue }),
	wholeNumber("retry_budget", "percent", "10", 0, 100, onlyService,
		"Limits the retries that entries send, in percent of the requests.", func(r *Row) *int { return &r.retryBudget }),
	wholeNumber("attempts", "", "5", 1, 100, onlyBatch,
		"Limits how often a task may fail before its job counts it as failed.", func(r *Row) *int { return &r.attempts }),
	wholeNumber("evictions", "evictions", "3", 0, 100, onlyBatch,
		"Limits how often one task may be evicted; 0 is never.", func(r *Row) *int { return &r.evictions }),
	{
		name: "urgent", allowed: "yes or no", defaultValue: "no", kinds: onlyBatch,
		description: "Starts tasks of the workload before all others.",
		read:        readUrgent,
		write:       func(r Row) string { return yesNo(r.urgent) },
	},
}

func wholeNumber(name, unit, defaultValue string, low, high int, kinds []Kind, description string, field func(*Row) *int) Column {
	return Column{
		name: name, unit: unit, defaultValue: defaultValue, kinds: kinds, description: description,
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		read: func(r *Row, cell string) error {
			n, err := readWhole(cell, low, high)
			*field(r) = n
			return err
		},
		write: func(r Row) string { return strconv.Itoa(*field(&r)) },
	}
}

func duration(name, unit, defaultValue string, low, high int, step time.Duration, kinds []Kind, description string,
	field func(*Row) *time.Duration,
) Column {
	return Column{
		name: name, unit: unit, defaultValue: defaultValue, kinds: kinds, description: description,
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		read: func(r *Row, cell string) error {
			n, err := readWhole(cell, low, high)
			*field(r) = time.Duration(n) * step
			return err
		},
		write: func(r Row) string { return strconv.FormatInt(int64(*field(&r)/step), 10) },
	}
}

type invalidCellError struct{}

// Error returns a generic text, since the column describes the allowed values.
func (invalidCellError) Error() string { return "not allowed" }

func readWhole(cell string, low, high int) (int, error) {
	n, err := strconv.Atoi(cell)
	if err != nil || n < low || n > high {
		return 0, invalidCellError{}
	}
	return n, nil
}

func readName(name *string, cell string) error {
	if cell == "" || len(cell) > 40 || strings.Trim(cell, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return invalidCellError{}
	}
	*name = cell
	return nil
}

func readKind(r *Row, cell string) error {
	for _, k := range allKinds {
		if k.String() == cell {
			r.kind = k
			return nil
		}
	}
	return invalidCellError{}
}

func readProcessors(r *Row, cell string) error {
	n, err := strconv.ParseFloat(cell, 64)
	if err != nil || !(n >= 0 && n <= 4096) {
		return invalidCellError{}
	}
	r.size = resource.New(int64(n*resource.MillisPerProcessor+0.5), r.size.Memory(), r.size.Accelerators())
	return nil
}

func readUrgent(r *Row, cell string) error {
	if cell != "yes" && cell != "no" {
		return invalidCellError{}
	}
	r.urgent = cell == "yes"
	return nil
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
