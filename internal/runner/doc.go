// Package runner is the agent beside a worker: it holds the worker's runs under the lead's permission, carries out
// the lead's orders, reports what runs and ends, and paces what fills beside what serves.
package runner
