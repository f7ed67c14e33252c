package routing

// budgetBurst is how many retries may be sent at once after a quiet time.
const budgetBurst = 10

// RetryBudget bounds the retries to a share of the requests; the zero value has its first burst to spend.
type RetryBudget struct {
	spent float64
}

// AddRequest takes note of a first try; percent of it may be spent on retries.
func (b *RetryBudget) AddRequest(percent int) {
	b.spent = max(b.spent-float64(percent)/100, 0)
}

// Spend takes one retry from the budget, or reports that there is none.
func (b *RetryBudget) Spend() bool {
	if b.spent+1 > budgetBurst {
		return false
	}
	b.spent++
	return true
}
