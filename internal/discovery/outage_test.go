//go:build !race

// The race detector's runtime can fail a check of its own in these tests, which have hundreds of goroutines: "CHECK
// failed: tsan_rtl.cpp". So they run without it, see .ci/run.

package discovery_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cressknot/internal/fleet"
)

// withdrawalLimit is the time after a change of which discovery can't notify a controller within which a withdrawal has
// to be ordered, so that it reaches proxies within the drain timeout: once the change counts as known.
func withdrawalLimit(site *fleet.Site) time.Duration {
	channelTime := time.Duration(site.MaxBacklog / 2 / site.EntriesPerSecond * float64(time.Second))
	return notifiedWithin + time.Duration(site.DrainTimeout-site.MaxUpdateDelay) - relayAnswerTime - channelTime
}

// outagePlays returns the number of random plays: 300, or what OUTAGE_PLAYS says.
func outagePlays(t *testing.T) int {
	t.Helper()
	text := os.Getenv("OUTAGE_PLAYS")
	if text == "" {
		return 300
	}
	plays, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return plays
}

// randomPlay draws an outage with one controller. Half of them begin with the drain, which leaves the least time. In a
// quarter the controller starts in the outage, with a list from before.
func randomPlay(random *rand.Rand) outagePlay {
	drainTimeout := time.Duration(2000+random.IntN(2001)) * time.Millisecond
	play := outagePlay{
		kind:        outageKind(random.IntN(int(outageKinds))),
		site:        outageSite(drainTimeout),
		controllers: 1,
		seed:        random.Uint64(),
		beginsAt:    5*time.Second + time.Duration(random.Int64N(int64(heartbeatInterval))),
		lasts:       time.Duration(1000+random.IntN(5001)) * time.Millisecond,
		drainAfter:  time.Millisecond,
		callTime:    5 * time.Millisecond,
	}
	if random.IntN(2) == 0 {
		play.drainAfter = time.Duration(random.Int64N(int64(play.lasts)))
	}
	if random.IntN(4) == 0 {
		play.beginsAt = 0
		play.startSpread = play.lasts
	}
	return play
}

// Guards against a drain that is missed after an outage of discovery: neither a wait that grew in the outage nor a call
// that began in it may last longer than the drain timeout leaves, whatever the random numbers, the length and phase of
// the outage and the drain timeout are.
func TestDrainIsKnownInTimeAfterOutageOfDiscovery(t *testing.T) {
	random := rand.New(rand.NewPCG(46, 6))
	nearest := time.Hour
	late := map[outageKind]int{}
	played := map[outageKind]int{}
	for range outagePlays(t) {
		play := randomPlay(random)
		after := play.play(t).withdrawnAfter[0]
		left := withdrawalLimit(&play.site) - after
		nearest = min(nearest, left)
		played[play.kind]++
		if after < 0 || left < 0 {
			late[play.kind]++
			t.Logf("%v of %v, drain timeout %v, drain %v after its start: withdrawn after %v, limit %v",
				play.kind, play.lasts, time.Duration(play.site.DrainTimeout), play.drainAfter, after, withdrawalLimit(&play.site))
		}
	}
	for kind := range outageKinds {
		if late[kind] > 0 {
			t.Errorf("%v: %d of %d plays missed the drain timeout", kind, late[kind], played[kind])
		}
	}
	t.Logf("plays %v, late %v; the nearest had %v left", played, late, nearest)
}

// busiest returns the largest number of calls within any window.
func busiest(calls []time.Duration, window time.Duration) (count int) {
	for i := range calls {
		inWindow := 0
		for _, at := range calls[i:] {
			if at-calls[i] < window {
				inWindow++
			}
		}
		count = max(count, inWindow)
	}
	return count
}

// Guards against a crowd after an outage: a service that handles calls one after another must not have to reject any,
// and each controller must get the change in time. The calls of all controllers fit in the time that is left.
func TestCallsAreSpreadAfterOutageOfDiscovery(t *testing.T) {
	for _, fleetSize := range []struct {
		controllers  int
		drainTimeout time.Duration
	}{
		{5, 2 * time.Second},
		{5, 3 * time.Second},
		{60, 2 * time.Second},
		{200, 3 * time.Second},
	} {
		for kind := range outageKinds {
			play := outagePlay{
				kind:        kind,
				site:        outageSite(fleetSize.drainTimeout),
				controllers: fleetSize.controllers,
				seed:        46,
				startSpread: heartbeatInterval,
				beginsAt:    8 * time.Second,
				lasts:       notifiedWithin,
				drainAfter:  time.Millisecond,
				callTime:    5 * time.Millisecond,
			}
			checkSpread(t, &play)
		}
	}
}

func checkSpread(t *testing.T, play *outagePlay) {
	t.Helper()
	result := play.play(t)
	late := 0
	for _, after := range result.withdrawnAfter {
		if after < 0 || after > withdrawalLimit(&play.site) {
			late++
		}
	}
	last := slices.Max(result.withdrawnAfter) - notifiedWithin
	t.Logf("%d controllers, drain timeout %v, %v: %.0f calls/s during the outage; then %d calls, %d in the busiest "+
		"second, %d in the busiest 0.1 s, %d rejected; the last withdrew %.2f s after the outage; %d late",
		play.controllers, time.Duration(play.site.DrainTimeout), play.kind,
		float64(len(result.callsDuring))/play.lasts.Seconds(), len(result.callsAfter),
		busiest(result.callsAfter, time.Second), busiest(result.callsAfter, 100*time.Millisecond), result.rejected,
		last.Seconds(), late)
	if late > 0 || result.rejected > 0 {
		t.Errorf("%d controllers, %v: %d late, %d calls rejected, want 0 and 0",
			play.controllers, play.kind, late, result.rejected)
	}
}
