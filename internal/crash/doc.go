// Package crash attributes crashes of workers to the tasks that ran there. It decides which tasks are suspects and
// start alone, and which jobs are given up: by the crash history of a task (History), or because its runs are lost
// repeatedly, whatever the cause (Losses). It uses no clock and no network.
package crash
