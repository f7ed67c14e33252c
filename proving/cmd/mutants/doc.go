// Command mutants turns each guard off in a copy of the repository and checks
// that a test goes red, which is how we know that the checks can fail.
package main
