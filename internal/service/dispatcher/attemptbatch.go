package dispatcher

import "yardwharf/internal/service/protocol"

const (
	maxOutcomesPerReport  = 256
	maxAttemptsPerRelease = 1000    // per queue
	attemptBatchBytes     = 1 << 20 // of the attempts or outcomes in one request or reply, by their upper bound
)

// firstWithin returns how many of the first items one message may hold: at least one, if there is one.
func firstWithin[Item any](items []Item, maxItems int, size func(*Item) int) int {
	bytes := 0
	for i := range items {
		bytes += size(&items[i])
		if i == maxItems || i > 0 && bytes > attemptBatchBytes {
			return i
		}
	}
	return len(items)
}

// firstAttempts returns the first attempts, as many as one request may hold.
func firstAttempts(attempts []protocol.Attempt) []protocol.Attempt {
	return attempts[:firstWithin(attempts, maxAttemptsPerRelease, (*protocol.Attempt).MaxEncodedBytes)]
}

// firstOutcomes returns the first outcomes, as many as one request may hold.
func firstOutcomes(outcomes []protocol.Outcome) []protocol.Outcome {
	return outcomes[:firstWithin(outcomes, maxOutcomesPerReport, (*protocol.Outcome).MaxEncodedBytes)]
}
