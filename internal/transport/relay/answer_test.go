package relay

import "testing"

// Only an explicit answer may count as accepted or rejected. Any damaged answer leaves the outcome unknown, or an
// operation could be sent twice or never.
func TestParseAnswerOutcome(t *testing.T) {
	const head = `<?xml version="1.0"?><Response><entries><item>`
	const tail = `</item></entries></Response>`
	for text, want := range map[string]callOutcome{
		head + "<accepted>2</accepted>" + tail:                       callAnswered,
		head + "<accepted> 0 </accepted>" + tail:                     callAnswered,
		head + "<accepted>3</accepted>" + tail:                       callUncertain, // the call has 2 operations
		head + "<accepted>-1</accepted>" + tail:                      callUncertain,
		head + "<accepted>x</accepted>" + tail:                       callUncertain,
		head + "<accepted>1</accepted><accepted>2</accepted>" + tail: callUncertain,
		head + "<accepted>2</accep":                                  callUncertain,
		"":                                                           callUncertain,
		"\x00\x01":                                                   callUncertain,
		"<Response><error>limit</error></Response>":                  callRejected,
		"<Response><errors><e><code>malformed</code></e></errors></Response>": callMalformed,
	} {
		_, err := parseAnswer([]byte(text), 2)
		if got := outcomeOf(err); got != want {
			t.Errorf("%q: outcome %v, want %v (%v)", text, got, want, err)
		}
		if (err == nil) != (want == callAnswered) {
			t.Errorf("%q: error %v for outcome %v", text, err, want)
		}
	}
}

func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte(`<Response><entries><item><accepted>2</accepted></item></entries></Response>`))
	f.Add([]byte(`</a><accepted>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		accepted, err := parseAnswer(text, 3)
		if err == nil && (accepted < 0 || accepted > 3) {
			t.Errorf("%d operations accepted, want 0 to 3", accepted)
		}
	})
}
