// Package sizing corrects declared sizes and run times by what was measured.
package sizing
