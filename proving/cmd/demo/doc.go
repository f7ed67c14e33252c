// Command demo shows the main job on separate processes: a lookup answered,
// and a mailing run evicted, resumed and finished.
package main
