package files

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Names of the files in a proxy's folder. The controller writes the first two, the proxy the others; every one is
// written to a temporary file and renamed, so that no reader ever sees a part of one.
const (
	TablesFile        = "eds.json"  // endpoints of all classes, as an xDS DiscoveryResponse of ClusterLoadAssignments
	AdmissionFile     = "rtds.json" // admission limits, as a DiscoveryResponse of one Runtime layer
	AckFile           = "ack.json"  // which versions of these the proxy uses
	CurrentTablesFile = "held.json" // the tables that the proxy has, in the form of TablesFile
	StatFile          = "stat.csv"  // its counters, as "show stat" prints them
	ServersFile       = "nodes.txt" // what it counts of servers' answers, as "show table" prints it
)

const (
	maxFileSize   = 64 << 20  // bytes of any file
	temporaryMark = ".aside-" // in the names of files that are not renamed yet
)

// response is an xDS DiscoveryResponse.
type response struct {
	Version   string            `json:"version_info"`
	Resources []json.RawMessage `json:"resources"`
}

func encodeResponse(r response) ([]byte, error) {
	text, err := json.Marshal(r)
	return append(text, '\n'), err
}

// decodeJSON reads a JSON value that fills its file.
func decodeJSON(file string, text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: byte %d: %w", file, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s: byte %d: unexpected data after the JSON value", file, decoder.InputOffset())
	}
	return nil
}

// Ack is a proxy's acknowledgement of the files that it uses.
type Ack struct {
	Proxy      string `json:"proxy"`
	Started    string `json:"started"` // distinguishes runs of the proxy
	Tables     string `json:"tables"`  // version of the tables that it uses, "" for its initial ones
	Admissions string `json:"levels"`
	Error      string `json:"error,omitempty"` // why a newer file was not accepted
}

// DecodeAck reads an acknowledgement.
func DecodeAck(text []byte) (Ack, error) {
	var ack Ack
	if err := decodeJSON(AckFile, text, &ack); err != nil {
		return ack, err
	}
	if ack.Proxy == "" || ack.Started == "" {
		return ack, fmt.Errorf("%s: fields proxy and started are required", AckFile)
	}
	return ack, nil
}
