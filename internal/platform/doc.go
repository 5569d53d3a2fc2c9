// Package platform implements the control loop of `cressknot node`, a controller for the proxies and servers of an
// external platform. It reaches the proxies through the platform's relay.
//
// The Controller translates between the platform, which identifies servers by name, and the balancer, which identifies
// them by number. It performs no I/O and reads no clock: the time and the inputs are arguments, the I/O to be done is
// returned as Effects. Run drives it in a single goroutine. The goroutines that read from sockets pass their input to
// Run through the bounded Mailbox.
package platform
