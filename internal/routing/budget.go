package routing

// budgetBurst is how many retries may be sent at once after a period without retries.
const budgetBurst = 10

// RetryBudget limits retries to a share of the requests; the zero value allows a full burst.
type RetryBudget struct {
	spent float64
}

// AddRequest records a first attempt; percent of it is added to the budget.
func (b *RetryBudget) AddRequest(percent int) {
	b.spent = max(b.spent-float64(percent)/100, 0)
}

// Spend takes one retry from the budget, and reports whether one was left.
func (b *RetryBudget) Spend() bool {
	if b.spent+1 > budgetBurst {
		return false
	}
	b.spent++
	return true
}
