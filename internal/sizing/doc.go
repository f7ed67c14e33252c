// Package sizing corrects declared sizes and run times by measurements.
package sizing
