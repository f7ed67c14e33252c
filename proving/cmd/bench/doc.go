// Command bench measures the scheduling decisions and the processes, and writes the tables of docs/MEASUREMENTS.md.
package main
