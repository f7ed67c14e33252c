// Command soak runs today's sizes for some minutes with a failure every few
// seconds, and tells what became of requests and tasks, and whether the
// processes stayed small.
package main
