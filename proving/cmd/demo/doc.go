// Command demo shows the main job on separate processes: a lookup answered, and a mailing run evicted, resumed and finished;
// then the same kinds of job on the stand-in of the users' platform, while entries are killed.
package main
