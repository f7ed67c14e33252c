// Package scenarios runs the scenario scripts against real processes.
package scenarios
