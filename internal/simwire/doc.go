// Package simwire speaks the simulator's wire protocol: it turns frames into the events of package fleet, orders
// into frames, and the JSON settings of a start into a fleet.Site. The wire's own names appear here alone, mostly
// as the field names of errors. The package takes no decision.
//
// A frame is little-endian. Both directions begin with its length in bytes; a batch goes on with the clock and the
// number of records, a reply with the number of records. A record is a code, the length of what follows, and the
// fields: mostly the instance first, then those of the event or order.
package simwire
