package invariants

import (
	"fmt"
	"time"
)

// checkDuplicates finds requests whose side effect happened twice, and retries that could have caused that.
func (w *Watch) checkDuplicates(limits Limits) RuleResult {
	v := RuleResult{Rule: RuleNoDuplicates}
	classes := map[string]Class{}
	for _, class := range limits.Classes {
		classes[class.Name] = class
	}
	effects, repeatedEffects := w.checkExecutions(&v, classes)
	repeatedAttempts := w.checkAttempts(&v, classes)
	v.Observed = fmt.Sprintf("%d requests with side effects executed, %d attempts repeated, %d executions repeated",
		effects, repeatedAttempts, repeatedEffects)
	return v
}

// checkExecutions finds repeated executions that the class does not allow. It returns how many requests of classes with
// side effects were executed, and how many executions repeated an earlier one.
func (w *Watch) checkExecutions(v *RuleResult, classes map[string]Class) (effects, repeated int) {
	first := map[uint64]execution{}
	for _, e := range w.executions {
		class := classes[e.class]
		if class.Idempotency == Idempotent {
			continue
		}
		v.Tested++
		earlier, known := first[e.request]
		if !known {
			first[e.request] = e
			continue
		}
		repeated++
		if class.Idempotency == NotIdempotent || e.at > earlier.at+class.DeduplicationWindow {
			v.violate(e.at, "request %d of class %s executed by node %s and again by node %s %.2f s later; %s",
				e.request, e.class, earlier.node, e.node, (e.at - earlier.at).Seconds(), class.repetitionLimit())
		}
	}
	return len(first), repeated
}

// checkAttempts finds retries after an attempt that may have been executed, in classes that do not allow them. It
// returns the number of retries in all classes.
func (w *Watch) checkAttempts(v *RuleResult, classes map[string]Class) (repeated int) {
	firstSent := map[uint64]time.Duration{}
	for _, a := range w.attempts {
		class := classes[a.class]
		if a.number == 0 {
			if class.Idempotency == IdempotentWithKey {
				firstSent[a.request] = a.at
			}
			continue
		}
		repeated++
		afterWindow := a.at > firstSent[a.request]+class.DeduplicationWindow
		if a.mayHaveRun && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentWithKey && afterWindow) {
			v.violate(
				a.at,
				"proxy %s retried request %d of class %s after an attempt that may have been executed; %s",
				a.proxy,
				a.request,
				a.class,
				class.repetitionLimit(),
			)
		}
	}
	return repeated
}
