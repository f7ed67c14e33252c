package decision

import (
	"embed"
	"fmt"
	"path"
	"sort"
	"time"

	"github.com/goccy/go-yaml"
)

//go:embed days/*.yaml
var days embed.FS

// Day is a simulated day of a team, read from a data file: its load and its failures.
type Day struct {
	Name       string `yaml:"name"`
	Workers    int    `yaml:"workers"`
	Processors int64  `yaml:"processors"`
	Memory     int64  `yaml:"memory_mb"`
	Seconds    int    `yaml:"seconds"`
	Reserved   int    `yaml:"reserved_workers"`
	// Accelerated is the number of workers with accelerators, which are the first ones; Accelerators is how many each has.
	Accelerated  int             `yaml:"accelerated_workers"`
	Accelerators int64           `yaml:"accelerators"`
	ReportLag    int             `yaml:"report_lag_s"`
	Service      ServiceLoad     `yaml:"service"`
	Batch        []BatchLoad     `yaml:"batch"`
	Jobs         []JobLoad       `yaml:"jobs"`
	Lost         []WorkerEvent   `yaml:"lost"`
	Failing      []WorkerEvent   `yaml:"failing"`
	Cancel       []CancelBurst   `yaml:"cancel"`
	ReportDelays []ReportDelay   `yaml:"late_reports"`
	Noise        []NoiseInterval `yaml:"noise"`
}

// ServiceLoad is the service of a day and its load.
type ServiceLoad struct {
	Name       string  `yaml:"name"`
	Processors int64   `yaml:"processors"`
	Memory     int64   `yaml:"memory_mb"`
	Slots      int     `yaml:"slots"`
	Queue      int     `yaml:"queue"`
	TargetMs   float64 `yaml:"target_ms"`
	MeanMs     float64 `yaml:"mean_ms"`
	Sigma      float64 `yaml:"sigma"`
	// Load is the share of all slots in use by requests, at evenly spaced times of the day.
	Load []float64 `yaml:"load"`
}

// BatchLoad is a batch workload. The policies see its declared size, but neither its actual usage, which is CPUFactor and
// MemoryFactor times that, nor its interference at each load band of the service.
type BatchLoad struct {
	Name       string `yaml:"name"`
	Team       string `yaml:"team"`
	Weight     int    `yaml:"weight"`
	Processors int64  `yaml:"processors"`
	Memory     int64  `yaml:"memory_mb"`
	// Accelerators is the number of accelerators per task.
	Accelerators int64      `yaml:"accelerators"`
	RuntimeS     int        `yaml:"runtime_s"`
	Evictions    int        `yaml:"evictions"`
	DeadlineM    int        `yaml:"deadline_min"`
	Urgent       bool       `yaml:"urgent"`
	CPUFactor    float64    `yaml:"really_uses"`
	MemoryFactor float64    `yaml:"really_takes"`
	Interference [4]float64 `yaml:"harm_by_band"`
}

// JobLoad is a job that is submitted at a second of the day and then, if Every is set, periodically up to Until.
type JobLoad struct {
	At       int    `yaml:"at"`
	Every    int    `yaml:"every"`
	Until    int    `yaml:"until"`
	Workload string `yaml:"workload"`
	Tasks    int    `yaml:"tasks"`
}

// WorkerEvent is an event at a worker that lasts from one second to another, or to the end of the day if Until is 0.
type WorkerEvent struct {
	Worker int `yaml:"worker"`
	From   int `yaml:"from"`
	Until  int `yaml:"until"`
}

// CancelBurst is a number of one-task jobs that are submitted and canceled in the same second.
type CancelBurst struct {
	At       int    `yaml:"at"`
	Workload string `yaml:"workload"`
	Jobs     int    `yaml:"jobs"`
}

// ReportDelay is an interval with another delay of usage and latency reports.
type ReportDelay struct {
	From int `yaml:"from"`
	To   int `yaml:"to"`
	Lag  int `yaml:"lag_s"`
}

// NoiseInterval is an interval in which the interference of a workload is multiplied by Factor.
type NoiseInterval struct {
	From     int     `yaml:"from"`
	To       int     `yaml:"to"`
	Workload string  `yaml:"workload"`
	Factor   float64 `yaml:"times"`
}

// Days reads all days, in the order of their files.
func Days() ([]Day, error) {
	files, err := days.ReadDir("days")
	if err != nil {
		return nil, err
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name() < files[j].Name() })
	all := make([]Day, 0, len(files))
	for _, file := range files {
		content, err := days.ReadFile(path.Join("days", file.Name()))
		if err != nil {
			return nil, err
		}
		var day Day
		if err := yaml.UnmarshalWithOptions(content, &day, yaml.Strict()); err != nil {
			return nil, fmt.Errorf("%s: %w", file.Name(), err)
		}
		all = append(all, day)
	}
	return all, nil
}

// slotShare returns the share of all slots in use by requests at a second, interpolated linearly.
func (d *Day) slotShare(second float64) float64 {
	position := second / float64(d.Seconds) * float64(len(d.Service.Load)-1)
	i := min(int(position), len(d.Service.Load)-2)
	fraction := position - float64(i)
	return d.Service.Load[i]*(1-fraction) + d.Service.Load[i+1]*fraction
}

func (d *Day) lag(second int) time.Duration {
	lag := d.ReportLag
	for _, l := range d.ReportDelays {
		if second >= l.From && second < l.To {
			lag = l.Lag
		}
	}
	return time.Duration(lag) * time.Second
}

func (d *Day) interferenceFactor(second int, workload string) float64 {
	for _, n := range d.Noise {
		if n.Workload == workload && second >= n.From && second < n.To {
			return n.Factor
		}
	}
	return 1
}

func isAffected(events []WorkerEvent, worker, second int) bool {
	for _, e := range events {
		if e.Worker == worker && second >= e.From && (e.Until == 0 || second < e.Until) {
			return true
		}
	}
	return false
}
