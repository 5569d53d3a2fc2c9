package fleet

import "strconv"

// WithdrawalCause is the reason for which a server is withdrawn or readmitted.
type WithdrawalCause uint8

// The causes of withdrawals and readmissions.
const (
	CauseUnspecified WithdrawalCause = iota // orders read from an event log have no cause
	CauseNotReady                           // withdrawn: listed as draining or gone
	CauseSlowStart                          // withdrawn: in slow start, which tables of other controllers may ignore
	CauseReady                              // readmitted: ready, and no longer withdrawn for slow start
	CauseForgotten                          // readmitted: gone and in no table, so that its state is dropped
)

// String returns the cause as a phrase for the log.
func (c WithdrawalCause) String() string {
	switch c {
	case CauseUnspecified:
		return "unspecified"
	case CauseNotReady:
		return "listed as draining or gone"
	case CauseSlowStart:
		return "in slow start while proxies may use tables that ignore it"
	case CauseReady:
		return "ready"
	case CauseForgotten:
		return "gone and in no table"
	}
	return "unknown cause " + strconv.Itoa(int(c))
}
