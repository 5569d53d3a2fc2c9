package files

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Names of the files in a proxy's folder. The controller writes the first two, the proxy the others. Each is written to
// a temporary file that is then renamed, so that readers never see partial content.
const (
	TablesFile        = "eds.json"  // endpoints of all classes, as an xDS DiscoveryResponse of ClusterLoadAssignments
	AdmissionFile     = "rtds.json" // admission limits, as a DiscoveryResponse of one Runtime layer
	AckFile           = "ack.json"  // versions of these files that the proxy uses
	CurrentTablesFile = "held.json" // tables in use at the proxy, in the format of TablesFile
	StatFile          = "stat.csv"  // counters, in the format of "show stat"
	ServersFile       = "nodes.txt" // counters of servers' responses, in the format of "show table"
)

const (
	maxFileSize   = 64 << 20  // maximum size of a file in bytes
	temporaryMark = ".aside-" // part of the name of a file that is not renamed yet
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

// decodeJSON parses a file that holds exactly one JSON value. Errors name the file and the byte.
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

// Ack is the content of AckFile: a proxy's acknowledgement of the files that it uses.
type Ack struct {
	Proxy      string `json:"proxy"`
	Started    string `json:"started"`         // identifies the run of the proxy; changes when it restarts
	Tables     string `json:"tables"`          // version of the tables in use, "" for the initial ones
	Admissions string `json:"levels"`          // version of the admission limits in use
	Error      string `json:"error,omitempty"` // why a newer file was not accepted, "" if none was refused
}

// DecodeAck parses the content of AckFile. The fields proxy and started are required.
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
