package simwire

// Codes of the records of a batch. The comments are the names in the protocol.
const (
	codeProbeResult    = 256 // pong
	codeStop           = 257 // crash now
	codeTimerFired     = 258 // timer
	codeStart          = 259 // enlist
	codeStoredEntry    = 260 // stored line
	codeProxyLeft      = 261 // parted
	codePeerMessage    = 262 // message
	codeBarrierReached = 263 // acked
	codeSliceAssigned  = 264 // custody
	codeProxyJoined    = 265 // attached
	codeEndpointList   = 266 // sync
	codeOutcomeReport  = 267 // roundup
	codeRegisterList   = 268 // register
	codeSliceDemand    = 269 // range load
	codeProxyDemand    = 270 // proxy stats
)

// Codes of the records of a reply. The comments are the names in the protocol.
const (
	codeSetTimer       = 256 // set alarm
	codeProbeServer    = 257 // probe
	codeSendToPeer     = 258 // publish
	codeLogMessage     = 259 // log
	codeCrash          = 260 // crash
	codeWatchEndpoints = 261 // track
	codeFetchEndpoints = 262 // snapshot
	codeSetWeight      = 263 // weigh
	codeClearTable     = 264 // empty
	codeWithdrawServer = 265 // mask
	codeAssignTable    = 266 // pin
	codeSetAdmission   = 267 // level
	codeBarrier        = 268 // barrier
)

// Sizes in bytes.
const (
	lengthBytes       = 4
	batchHeaderBytes  = 16
	replyHeaderBytes  = 8
	codeBytes         = 2
	recordHeaderBytes = codeBytes + lengthBytes
	endpointBytes     = 21 // an endpoint of a registered list
	maxFrameBytes     = 1 << 30
)

// registeredListCount is the number of endpoint lists that can be registered at a time.
const registeredListCount = 16

// Codes of a server's state in a registered list.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// Codes of an endpoint list's scope.
const (
	scopeFull   = 0
	scopeDelta  = 1
	scopeFailed = 2
	scopeCached = 3
)

// Codes of a probe's result. Every other code means fleet.ProbeOtherOutcome.
const (
	resultAnswered         = 0
	resultTimedOut         = 4
	resultRejected         = 8
	resultConnectionBroken = 10
	resultFailed           = 13
	resultUnreachable      = 14
)
