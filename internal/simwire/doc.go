// Package simwire implements the simulator's binary protocol: it decodes frames into the events of package fleet,
// encodes orders into frames, and converts the JSON settings of a start into a fleet.Site. The names of the protocol
// appear only here, mostly as field names in errors. The package takes no decision.
//
// Frames are little-endian and begin with their length in bytes. In a batch, the input, the clock and the number of
// records follow; in a reply, the output, the number of records. A record consists of a code, the length of its fields
// in bytes, and the fields: in most records the instance first, then those of the event or order.
package simwire
