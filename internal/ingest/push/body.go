package push

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/netlimit"
)

// bodyError is an error in reading a request body, with the HTTP status of the response.
type bodyError struct {
	status int
	err    error
}

func (e *bodyError) Error() string { return e.err.Error() }

func (e *bodyError) Unwrap() error { return e.err }

// readBody reads the body of a request, decompressed, into the buffer, and adds its bytes to the account. The body is
// limited to maxBodySize bytes after decompression.
func readBody(buffer *bytes.Buffer, r *http.Request, account *netlimit.Account) *bodyError {
	body := io.Reader(r.Body)
	switch encoding := r.Header.Get("Content-Encoding"); encoding {
	case "", "identity":
	case "gzip":
		decompressed, err := gzip.NewReader(r.Body)
		if err != nil {
			return &bodyError{http.StatusBadRequest, fmt.Errorf("batch is not valid gzip: %w", err)}
		}
		body = decompressed
	default:
		return &bodyError{
			http.StatusUnsupportedMediaType,
			fmt.Errorf("unsupported Content-Encoding %.20q, expected gzip or identity", encoding),
		}
	}
	size, err := buffer.ReadFrom(countingReader{io.LimitReader(body, maxBodySize+1), account})
	if err != nil {
		return &bodyError{http.StatusBadRequest, fmt.Errorf("batch is unreadable after %d bytes: %w", size, err)}
	}
	if size > maxBodySize {
		return &bodyError{
			http.StatusRequestEntityTooLarge,
			fmt.Errorf("batch exceeds the limit of %d bytes after decompression", maxBodySize),
		}
	}
	return nil
}

// rejection is the response to a rejected batch.
type rejection struct {
	status     int
	code       string
	message    string
	retryAfter fleet.Time // 0: the response has no Retry-After header
}

func invalid(status int, err error) rejection {
	return rejection{status: status, code: "invalid", message: err.Error()}
}

// rejectionBody is the JSON body of a rejection, in the format of InfluxDB.
type rejectionBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (s *Server) reject(w http.ResponseWriter, r rejection) {
	s.rejected.Add(1)
	header := w.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	header.Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(r.status)
	body := rejectionBody{Code: r.code, Message: strings.ToValidUTF8(r.message, "?")}
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
