// Command mutants disables guards one by one in a copy of the repository and checks that a test fails for each, which shows
// that the tests can detect the fault.
package main
