package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/proving/stage"
)

const (
	workers       = 11
	entries       = 3
	faultInterval = 4 * time.Second
	tableRows     = `workload,kind,team,processors,memory_mb,replicas,target_ms,runtime_s,evictions,concurrency,attempts
lookups,service,federacion,4,8000,11,100,,,8,
mailing,batch,federacion,4,4000,,,3,100,100,100
settlement,batch,reembolsos,3,4000,,,5,100,100,100
`
)

func main() {
	app := kingpin.New("soak", "Runs real processes under faults.")
	ownInterface := app.Command("own", "The product's own interface, at the users' current size.")
	length := ownInterface.Flag("for", "Duration of the soak.").Default("5m").Duration()
	seed := ownInterface.Flag("seed", "Seed of the faults.").Default("1").Uint64()
	onPlatform := app.Command("platform", "The users' platform, one seed after another.").Default()
	var p platformSoak
	onPlatform.Flag("first", "First seed.").Default("1").Uint64Var(&p.first)
	onPlatform.Flag("seeds", "How many seeds.").Default("5").Uint64Var(&p.seeds)
	onPlatform.Flag("for", "Duration of the faults for each seed.").Default("20s").DurationVar(&p.length)
	onPlatform.Flag("entries", "How many entries.").Default("3").IntVar(&p.entries)
	onPlatform.Flag("agents", "How many agents with their workers.").Default("6").IntVar(&p.agents)
	onPlatform.Flag("crashes", "Let some jobs crash the workers that start them.").Default("true").BoolVar(&p.crashes)
	onPlatform.Flag("returns", "Let workers restart under ids used before.").Default("true").BoolVar(&p.reuseIDs)
	onPlatform.Flag("rates", "Let the store be rate limited at times.").Default("false").BoolVar(&p.limitRates)
	onPlatform.Flag("composed", "Add composed faults and gangs, and end with a lost worker.").Default("false").BoolVar(&p.composed)
	onPlatform.Flag("late-submissions", "Cancel jobs before the store writes their records.").Default("false").BoolVar(&p.lateSubmissions)
	onPlatform.Flag("recut", "Restart workers under their ids and cut off their VMs, in place of the other faults, --crashes and --returns.").Default("false").BoolVar(&p.recut)
	onPlatform.Flag("max-lease", "Longest lease that workers accept, as in the settings; 0 for 6s, which the settings do not name.").Default("0s").DurationVar(&p.maxLease)
	onPlatform.Flag("keep", "Directory for the logs of failed seeds.").Default("out/soak").StringVar(&p.logDir)
	onPlatform.Flag("keep-all", "Keep the logs of all seeds.").Default("false").BoolVar(&p.keepAll)
	run := p.run
	if kingpin.MustParse(app.Parse(os.Args[1:])) == ownInterface.FullCommand() {
		run = func() error { return soakOwnInterface(*length, *seed) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		os.Exit(1)
	}
}

// soaker injects faults on a stage.
type soaker struct {
	stage  *stage.Stage
	random *rand.Rand
	jobs   []string
}

func soakOwnInterface(length time.Duration, seed uint64) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	s := &soaker{stage: stage.New(filepath.Dir(program), dir), random: rand.New(rand.NewPCG(seed, 2))}
	defer func() { s.stage.Close(); _ = os.RemoveAll(dir) }()
	if err := s.prepare(); err != nil {
		return err
	}
	before := s.sizes()
	if err := s.injectFaults(length); err != nil {
		return err
	}
	return s.awaitAndCheck(before)
}

func (s *soaker) do(verb string, args ...string) error {
	text, err := s.stage.Do(verb, args...)
	if err != nil {
		return fmt.Errorf("%s %v: %w", verb, args, err)
	}
	if verb == "unload" || verb == "books" {
		fmt.Println(verb, args, text)
	}
	return nil
}

func (s *soaker) prepare() error {
	if err := s.do("cluster", "entries="+strconv.Itoa(entries), "workers="+strconv.Itoa(workers), "runtime=3s"); err != nil {
		return err
	}
	url := "http://" + s.stage.Address("e1", "admin") + "/v1/table?base=0&author=soak&write_id=soak"
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(tableRows)
	if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("the table is refused: %s %w", response.Body(), err)
	}
	if err := s.do("await", "running", "lookups", "e1", strconv.Itoa(workers)); err != nil {
		return err
	}
	if err := s.do("load", "repeatable", "lookups", "e1", "e2", "e3", "rate=150", "repeat=yes"); err != nil {
		return err
	}
	return s.do("load", "once", "lookups", "e3", "e1", "e2", "rate=100")
}

// injectFaults injects a fault every few seconds and submits a job at every third one.
func (s *soaker) injectFaults(length time.Duration) error {
	end := time.Now().Add(length)
	for round := 0; time.Now().Before(end); round++ {
		began := time.Now()
		if round%3 == 0 {
			s.submitJob(round)
		}
		if err := s.injectFault(); err != nil {
			return err
		}
		<-time.After(time.Until(began.Add(faultInterval)))
	}
	return nil
}

// submitJob submits a job; one that all entries refuse is not counted.
func (s *soaker) submitJob(round int) {
	name := "job-" + strconv.Itoa(round)
	workload := []string{"mailing", "settlement"}[s.random.IntN(2)]
	for _, entry := range []string{"e1", "e2", "e3"} {
		if _, err := s.stage.Do("job", name, entry, workload, "20", "key="+name); err == nil {
			s.jobs = append(s.jobs, name)
			return
		}
	}
}

func (s *soaker) injectFault() error {
	agent := "a" + strconv.Itoa(1+s.random.IntN(workers))
	entry := "e" + strconv.Itoa(1+s.random.IntN(entries))
	vm := "vm-" + agent[1:]
	switch s.random.IntN(9) {
	case 0:
		return s.doAll([]string{"crash", agent}, []string{"start", agent})
	case 1:
		return s.doAll([]string{"term", agent}, []string{"start", agent})
	case 2:
		return s.doAll([]string{"term", entry}, []string{"start", entry})
	case 3:
		return s.doAll([]string{"freeze", agent}, []string{"pause", "3s"}, []string{"thaw", agent})
	case 4:
		return s.doAll([]string{"fault", "store", "down"}, []string{"pause", "3s"}, []string{"fault", "store", "up"})
	case 5:
		return s.doAll([]string{"fault", "store", "lose?answers=2"})
	case 6:
		return s.doAll([]string{"list", vm, "leaving"}, []string{"pause", "2s"}, []string{"list", vm, "live"})
	case 7:
		return s.doAll([]string{"crash", entry}, []string{"start", entry})
	default:
		return s.doAll([]string{"freeze", entry}, []string{"pause", "1s"}, []string{"thaw", entry})
	}
}

func (s *soaker) doAll(steps ...[]string) error {
	for _, step := range steps {
		if err := s.do(step[0], step[1:]...); err != nil {
			return err
		}
	}
	return nil
}

// awaitAndCheck waits until all jobs end and checks the results.
func (s *soaker) awaitAndCheck(before map[string]processSize) error {
	if err := s.do("await", "ready", strconv.Itoa(workers), "within=60s"); err != nil {
		return err
	}
	lost := 0
	for _, name := range s.jobs {
		if err := s.do("await", "job", name, "e1", "finished", "within=90s"); err != nil {
			fmt.Println("job did not end:", err)
			lost++
		}
	}
	if err := s.doAll([]string{"unload", "repeatable"}, []string{"unload", "once"}, []string{"books"}); err != nil {
		return err
	}
	fmt.Printf("jobs submitted %d of 20 tasks each, not ended %d\n", len(s.jobs), lost)
	after := s.sizes()
	for _, name := range []string{"e1", "e2", "e3", "a1", "a2", "a11"} {
		fmt.Printf("%s: goroutines %d then %d, descriptors %d then %d, heap %d then %d bytes\n", name,
			before[name].goroutines, after[name].goroutines, before[name].descriptors, after[name].descriptors,
			before[name].heap, after[name].heap)
	}
	if lost > 0 {
		return fmt.Errorf("%d jobs did not end", lost)
	}
	return nil
}

// processSize is the resource usage of a process.
type processSize struct {
	goroutines, heap int64
	descriptors      int
}

func (s *soaker) sizes() map[string]processSize {
	sizes := make(map[string]processSize)
	for name, pid := range s.stage.Processes() {
		if name[0] != 'a' && name[0] != 'e' {
			continue
		}
		var metrics map[string]struct {
			Value int64 `json:"value"`
		}
		status, body, err := fasthttp.GetTimeout(nil, "http://"+s.stage.Address(name, "admin")+"/metrics", 5*time.Second)
		if err == nil && status == fasthttp.StatusOK {
			_ = json.Unmarshal(body, &metrics)
		}
		descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		sizes[name] = processSize{
			goroutines: metrics["process.goroutines"].Value, heap: metrics["process.heap_bytes"].Value, descriptors: len(descriptors),
		}
	}
	return sizes
}
