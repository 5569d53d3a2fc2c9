package client

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const sec = fleet.Second

func lookupName(id fleet.ServerID) (string, string) { return fmt.Sprint("s", id), fmt.Sprint("x:", id) }

// addReady returns a change that adds a ready server to a class.
func addReady(class, server int, weight int16) reconcile.Change {
	return reconcile.Change{
		Kind:   reconcile.AddEntry,
		Class:  fleet.ClassID(class),
		Server: fleet.ServerID(server),
		Weight: weight,
		State:  reconcile.StateReady,
	}
}

// formatEndpoints returns the usable endpoints of a class as text.
func (t *tableCache) formatEndpoints(class string) string {
	found, _ := t.endpoints(class)
	return fmt.Sprint(found.endpoints)
}

// formatFirstClass returns the endpoints of a controller's first class as text.
func formatFirstClass(view *service.View) string {
	update := view.Since(tableversion.NoVersion)
	return fmt.Sprint(update.Classes[0].Endpoints)
}

// checkedCache is a cache with checks for each delivered update.
type checkedCache struct {
	t                *rapid.T
	cache            *tableCache
	now              fleet.Time
	controllerStates map[string]bool // states that the first class had at any controller
	newestList       uint64
	lastApplied      fleet.Time
}

func (c *checkedCache) deliver(update service.Update) {
	before := c.cache.formatEndpoints("look")
	_, versionBefore := c.cache.current()
	verdict, reason := c.cache.update(c.now, &update)
	after, known := c.cache.endpoints("look")
	text := fmt.Sprint(after.endpoints)
	_, version := c.cache.current()
	switch verdict {
	case updateApplied:
		if known && len(after.endpoints) > 0 && !c.controllerStates[text] {
			c.t.Fatalf("cached %v, a state that no controller had", text)
		}
		if update.ListRevision < c.newestList && c.now < c.lastApplied+olderListDelay {
			c.t.Fatalf("applied endpoint list revision %d after %d", update.ListRevision, c.newestList)
		}
		c.newestList = update.ListRevision
		c.lastApplied = c.now
	case updateHeartbeat:
		c.newestList = update.ListRevision
		c.lastApplied = c.now
	case updateInvalid:
		c.t.Fatalf("update of a controller is invalid: %s: %+v", reason, update)
	default:
		if text != before || version != versionBefore {
			c.t.Fatalf("verdict %d, but the cache changed from %s to %s", verdict, before, text)
		}
	}
}

// TestCacheHoldsStatesOfControllers delivers updates of two controllers late, twice or not at all. It checks that the
// cached state is always a complete state that a controller had, that updates decided by an older endpoint list are
// rejected while a newer update is recent, and that a final complete state brings the cache in sync.
func TestCacheHoldsStatesOfControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []string{"look", "book"}
		names := []string{"g1", "g2"}
		views := []*service.View{service.NewView("g1", "a", 5, classes), service.NewView("g2", "a", 9, classes)}
		revisions := []uint64{1, 1}
		checked := &checkedCache{t: t, cache: newTableCache(), now: 100 * sec, controllerStates: map[string]bool{}}
		var delayed []service.Update
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			controller := rapid.IntRange(0, 1).Draw(t, "controller")
			view := views[controller]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				id := fleet.ServerID(rapid.IntRange(0, 5).Draw(t, "server"))
				weight := int16(rapid.IntRange(0, 256).Draw(t, "weight"))
				for _, kind := range []reconcile.ChangeKind{reconcile.AddEntry, reconcile.UpdateEntry} {
					state := reconcile.State(rapid.IntRange(1, 3).Draw(t, "state"))
					view.Apply([]reconcile.Change{{Kind: kind, Server: id, Weight: weight, State: state}}, lookupName)
				}
				checked.controllerStates[formatFirstClass(view)] = true
			case 2:
				revisions[controller] += uint64(rapid.IntRange(0, 2).Draw(t, "revision"))
				view.SetState(service.PublishedState{
					ListRevision: revisions[controller],
					OpenServers:  []string{"s0", "s1", "s2", "s3", "s4", "s5"},
				})
			case 3:
				checked.deliver(view.Heartbeat())
			case 4:
				delayed = append(delayed, view.Since(checked.cache.watchFrom(names[controller])))
			case 5:
				if len(delayed) > 0 {
					checked.deliver(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")])
				}
			default:
				checked.deliver(view.Since(checked.cache.watchFrom(names[controller])))
			}
			checked.now += fleet.Time(rapid.IntRange(0, 3000).Draw(t, "ms")) * fleet.Millisecond
		}
		checked.now += olderListDelay
		views[0].SetState(service.PublishedState{ListRevision: revisions[0]})
		update := views[0].Since(tableversion.NoVersion)
		if verdict, reason := checked.cache.update(checked.now, &update); verdict != updateApplied {
			t.Fatalf("complete state not applied: %s", reason)
		}
		cached := checked.cache.formatEndpoints("look")
		if update.Classes[0].Published && cached != formatFirstClass(views[0]) {
			t.Fatalf("cached %s, the controller has %s", cached, formatFirstClass(views[0]))
		}
	})
}

// TestCacheRejectsInvalidUpdates checks that an invalid, outdated or out-of-sync update does not change the cache.
func TestCacheRejectsInvalidUpdates(t *testing.T) {
	view := service.NewView("g", "a", 5, []string{"look"})
	view.Apply([]reconcile.Change{addReady(0, 1, 9)}, lookupName)
	cache := newTableCache()
	valid := view.Since(tableversion.NoVersion)
	if verdict, reason := cache.update(sec, &valid); verdict != updateApplied {
		t.Fatalf("valid update not applied: %s", reason)
	}
	otherVersion := tableversion.Version{Epoch: 4, Count: 1}
	for name, c := range map[string]struct {
		change func(*service.Update)
		want   updateVerdict
	}{
		"digest does not match the endpoints": {
			func(u *service.Update) { u.Classes[0].Digest++ }, updateInvalid,
		},
		"weight over the limit": {
			func(u *service.Update) { u.Classes[0].Endpoints[0].Weight = 300 }, updateInvalid,
		},
		"empty address": {
			func(u *service.Update) { u.Classes[0].Endpoints[0].Addr = "" }, updateInvalid,
		},
		"empty class name": {
			func(u *service.Update) { u.Classes[0].Class = "" }, updateInvalid,
		},
		"too many endpoints": {
			func(u *service.Update) { u.Classes[0].Endpoints = make([]service.Endpoint, maxEndpoints+1) }, updateInvalid,
		},
		"change from a version that is not cached": {
			func(u *service.Update) { u.From = otherVersion }, updateOutOfSync,
		},
		"older version": {
			func(u *service.Update) { u.To = otherVersion }, updateOutdated,
		},
	} {
		update := view.Since(tableversion.NoVersion)
		c.change(&update)
		if verdict, _ := cache.update(2*sec, &update); verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", name, verdict, c.want)
		}
		if found, _ := cache.endpoints("look"); len(found.endpoints) != 1 || found.endpoints[0].Weight != 9 {
			t.Errorf("%s: cache changed to %v", name, found.endpoints)
		}
	}
}

// TestCacheAppliesChanges checks that a change with a wrong digest changes nothing; that the first publication of a
// class replaces the cached table of another controller even if it is not a complete state; and that a complete state
// without a class removes the class.
func TestCacheAppliesChanges(t *testing.T) {
	view := service.NewView("g", "a", 5, []string{"look", "book"})
	view.Apply([]reconcile.Change{addReady(0, 1, 9), addReady(1, 1, 9)}, lookupName)
	cache := newTableCache()
	cached := func() string {
		look, _ := cache.endpoints("look")
		book, known := cache.endpoints("book")
		return fmt.Sprint(look.endpoints, book.endpoints, known)
	}
	update := func(u service.Update, want updateVerdict) {
		t.Helper()
		if verdict, reason := cache.update(sec, &u); verdict != want {
			t.Errorf("verdict %d, want %d: %s", verdict, want, reason)
		}
	}
	expect := func(want string) {
		t.Helper()
		if got := cached(); got != want {
			t.Errorf("cached %s, want %s", got, want)
		}
	}
	update(view.Since(tableversion.NoVersion), updateApplied)
	before := cached()
	from := view.Version()
	view.Apply([]reconcile.Change{{Kind: reconcile.UpdateEntry, Server: 1, Weight: 4}, addReady(0, 2, 4)}, lookupName)
	wrong := view.Since(from)
	wrong.Classes[0].Digest++
	update(wrong, updateOutOfSync)
	expect(before)
	update(view.Since(from), updateApplied)

	restarted := service.NewView("g", "a", 6, []string{"look", "book"})
	restarted.SetState(service.PublishedState{OpenServers: []string{"s1"}})
	update(restarted.Since(tableversion.NoVersion), updateApplied)
	expect("[{s1 x:1 4}] [{s1 x:1 9}] true")

	from = restarted.Version()
	restarted.Apply([]reconcile.Change{addReady(0, 3, 7)}, lookupName)
	update(restarted.Since(from), updateApplied)
	expect("[{s3 x:3 7}] [{s1 x:1 9}] true")

	withoutBook := restarted.Since(tableversion.NoVersion)
	withoutBook.Classes = withoutBook.Classes[:1]
	update(withoutBook, updateApplied)
	expect("[{s3 x:3 7}] [] false")
}
