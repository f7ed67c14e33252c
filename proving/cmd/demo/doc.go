// Command demo demonstrates the main use with separate processes: a lookup is answered, and a mailing run is evicted,
// resumed and finished. It then runs such jobs on the stand-in for the users' platform while entries are killed.
package main
