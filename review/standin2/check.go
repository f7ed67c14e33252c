package main

import "time"

// twice returns the starts of tasks that follow a run that ended done and whose end is taken note of, as the rule TWICE says: the end
// is taken note of at that time or afterward, and the lease of the worker did not lapse in between.
func twice(entries []entry) []entry {
	type key struct {
		life, task string
		run        int
	}
	keyOf := func(e entry) key { return key{e.life, e.task, e.number} }
	// noted are the ends that are taken note of, without those after whose end the lease of the worker lapsed before.
	ended, lapsed, noted := map[key]time.Duration{}, map[string]time.Duration{}, map[key]bool{}
	for _, e := range entries {
		switch {
		case e.what == "lapse":
			lapsed[e.life] = e.at
		case e.what == "end":
			ended[keyOf(e)] = e.at
		case e.what == "noted" && e.detail == "done":
			lapse, found := lapsed[e.life]
			noted[keyOf(e)] = !found || lapse < ended[keyOf(e)]
		}
	}
	done, broken := map[string]bool{}, []entry{}
	for _, e := range entries {
		switch {
		case e.what == "end" && e.detail == "done" && noted[keyOf(e)]:
			done[e.task] = true
		case e.what == "start" && done[e.task]:
			broken = append(broken, e)
		}
	}
	return broken
}

// count returns how many entries are of a kind for the tasks of a job; empty fields match all.
func count(entries []entry, what, job, detail string) int {
	found := 0
	for _, e := range entries {
		if e.what == what && (job == "" || len(e.task) >= len(job) && e.task[:len(job)] == job) && (detail == "" || e.detail == detail) {
			found++
		}
	}
	return found
}

// firstStart returns when the first run of a job has started.
func firstStart(r *record, job string) time.Time {
	for _, e := range r.all() {
		if e.what == "start" && e.task[:len(job)] == job {
			return r.began.Add(e.at)
		}
	}
	return time.Now()
}
