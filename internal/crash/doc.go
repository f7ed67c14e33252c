// Package crash decides what a crash of a worker says of the tasks that ran there: who is suspected of it, who starts alone
// next, and whose job is given up, by what is told of the crash (Suspicion) or because run after run is lost whatever is told
// (Losses). It knows no clock and no network.
package crash
