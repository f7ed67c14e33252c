package pressure

import "math"

// WorthOfOver is the share of a worker's processors that batch work has to get done to outweigh one serving task that is over
// its target by its doing. On the users' two deployments, whose owners count such a second four times, a task's second
// is worth 0.27 and 0.29 of a worker's second of batch work.
const WorthOfOver = 0.28

// deviation is by how much the level of a task is off what is predicted: what the changes of half a second leave
// unexplained (0.27 on a recorded day), and a part of the load's swing.
const deviation = 0.33

// ChanceOver returns how likely a task with a predicted level is over its target.
func ChanceOver(level float64) float64 { return math.Erfc(-level/(deviation*math.Sqrt2)) / 2 }
