package counters

import (
	"fmt"
	"strings"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

const statHeader = "# pxname,svname,status,scur,stot,dreq,econ,eresp,wretr,weight," +
	"hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,odd\n"

// lookup accepts server names that consist of "n" and the server ID.
func lookup(name string) (fleet.ServerID, bool) {
	var id fleet.ServerID
	_, err := fmt.Sscanf(name, "n%d", &id)
	return id, err == nil
}

func TestReadingOfAProxy(t *testing.T) {
	const stat = statHeader +
		"look,FRONTEND,OPEN,1,99,0,0,0,0,0,0,0,0,0,0,\n" +
		"look,n1,UP,2,50,0,1,2,0,128,1,40,2,3,4,x\n" +
		"look,n2,MAINT,0,7,0,0,0,0,256,0,7,0,0,0,x\n" +
		"look,else,UP,0,7,0,0,0,0,9,0,7,0,0,0,x\n" +
		"look,BACKEND,UP,2,57,0,5,6,0,0,0,0,0,0,7,x\n" +
		"book,n1,DRAIN,0,5,0,0,0,0,1,0,5,0,0,0,x\n" +
		"book,BACKEND,UP,0,5,0,0,0,0,0,0,5,0,0,1,x\n" +
		"admin,n1,UP,0,5,0,0,0,0,1,0,5,0,0,0,x\n"
	const table = "# table: nodes\n" +
		"0x01: key=n1 use=0 gpt0=500 gpt1=1 gpt2=0 gpt3=2000 gpc0=900 gpc1=9\n" +
		"0x02: key=n9 gpc0=1 gpc1=1\n"
	reading, err := ParseCounters([]byte(stat), map[string]fleet.ClassID{"look": 0, "book": 1}, 2, lookup)
	if err != nil {
		t.Fatal(err)
	}
	if err := reading.AddTracked([]byte(table), lookup); err != nil {
		t.Fatal(err)
	}
	const wantRows = "[{1 {58 7 9 900 [0.5 0.001 0 2] true}} {2 {7 0 0 0 [0 0 0 0] false}}]"
	if got := fmt.Sprint(reading.Rows); got != wantRows {
		t.Errorf("rows %s, want %s", got, wantRows)
	}
	const wantClasses = "[{57 18} {5 1}]"
	if got := fmt.Sprint(reading.Classes); got != wantClasses {
		t.Errorf("classes %s, want %s", got, wantClasses)
	}
	wantEntries := []reconcile.ObservedEntry{
		{Class: 0, Server: 1, Weight: 128, State: reconcile.StateReady},
		{Class: 0, Server: 2, Weight: 256, State: reconcile.StateMaintenance},
		{Class: 1, Server: 1, Weight: 1, State: reconcile.StateDrain},
	}
	if fmt.Sprint(reading.Entries) != fmt.Sprint(wantEntries) {
		t.Errorf("entries %v, want %v", reading.Entries, wantEntries)
	}
	reading.Release()
	if again := NewReading(1); len(again.Rows) != 0 || len(again.Classes) != 1 || again.Row(2).Attempts != 0 {
		t.Errorf("a new reading is not empty after Release: %+v", again)
	}
}

func TestParseCountersNamesTheLineOfAnError(t *testing.T) {
	for text, want := range map[string]string{
		"":                       "show stat",
		"pxname,svname\n":        "line 1",
		"# pxname,svname\n":      `no column "status"`,
		statHeader + "look,n1\n": "line 2",
		statHeader + "look,n1,UP,x,1,1,1,1,1,1,1,1,1,1,1,\n": "line 2",
	} {
		_, err := ParseCounters([]byte(text), map[string]fleet.ClassID{"look": 0}, 1, lookup)
		if text == "" {
			continue // checks only that it does not panic
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func TestAddTrackedRejectsMalformedLines(t *testing.T) {
	reading := NewReading(1)
	reading.Row(1)
	for _, text := range []string{"0x01: key=n1 gpc0=x\n", "0x01: gpc0=1\n", "nothing\n"} {
		if err := reading.AddTracked([]byte(text), lookup); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
