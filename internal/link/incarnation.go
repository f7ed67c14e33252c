package link

import "github.com/saffronpulley/saffronpulley/internal/incarnation"

// Incarnation returns the incarnation of the reported worker, zero while it is unknown to the agent.
func (r *Report) Incarnation() incarnation.ID { return incarnation.New(r.Instance, r.StartMillis) }

// Incarnation returns the incarnation that has ended.
func (c *Crash) Incarnation() incarnation.ID { return incarnation.New(c.Instance, c.StartMillis) }

// Incarnation returns the incarnation to which the orders are addressed.
func (o *Orders) Incarnation() incarnation.ID { return incarnation.New(o.Instance, o.StartMillis) }
