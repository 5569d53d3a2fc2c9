// Package platform is the control loop of a controller on the users' platform, as `cressknot node` runs it.
//
// The Controller translates between the platform, which names servers, and the balancer, which numbers them. It is
// pure: time and everything that happened are arguments, the I/O to be done is a result. Run drives it in one
// goroutine, fed through the bounded Mailbox by the goroutines that read from sockets.
package platform
