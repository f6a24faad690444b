package standin

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var cases = map[string]func(*world){
	"doubled": doubled, "refused": refused, "stuck": stuck, "unread": unread, "cut": cut,
}

// TestMain plays the case that the arguments name. The stand-ins are test files, built by
// review/build.sh as a program of their own.
func TestMain(*testing.M) {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER TROUBLE")
		os.Exit(exitNoRun)
	}
	w := newWorld(os.Args[2], os.Args[3], os.Args[4] != "0")
	cases[os.Args[1]](w)
}

func plain(*server) {}

// doubled sends requests without a body to a route that allows one run each. Servers
// lose some answers.
func doubled(w *world) {
	const (
		length     = 16 * time.Second
		troubleAt  = 5 * time.Second
		troubleFor = 4 * time.Second
		rate       = 120
		share      = 0.4
		lost       = 0.05
	)
	w.addServers(portal, 5, 6, plain)
	w.configure(1, onceRoute, judgeRoute)
	w.addDaemons(3)
	began := time.Now()
	luck := rand.New(rand.NewSource(1))
	var luckMu sync.Mutex
	lostCount := 0
	for n, s := range w.servers {
		if !w.trouble || float64(n) >= share*float64(len(w.servers)) {
			continue
		}
		s.loseAnswer = func() bool {
			luckMu.Lock()
			defer luckMu.Unlock()
			at := time.Since(began)
			if at < troubleAt || at > troubleAt+troubleFor || luck.Float64() >= lost {
				return false
			}
			lostCount++
			return true
		}
	}
	// Each request has a connection of its own, so that the clients' library repeats none.
	client := oneUse()
	var group sync.WaitGroup
	var answered atomic.Int64
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / rate)))
		group.Add(1)
		go func() {
			defer group.Done()
			d := w.daemons[n%len(w.daemons)]
			r := request{method: "GET", host: portalHost, path: fmt.Sprintf("%s%05d", oncePrefix, n), id: fmt.Sprintf("g%015d", n), deadline: 1500 * time.Millisecond}
			if n%4 == 3 {
				r.method, r.id, r.body = "POST", fmt.Sprintf("p%015d", n), "a body"
			} else if n%4 == 2 {
				r.method, r.id, r.key = "POST", fmt.Sprintf("k%015d", n), fmt.Sprintf("key-%d", n)
			}
			// The client makes one attempt each.
			got := w.send(client, d, r)
			w.note("client: %s id=%s at %s: %v", r.method, r.id, d.name, got)
			if got.err == nil && got.status == http.StatusOK {
				answered.Add(1)
			}
		}()
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := make(map[string]int)
	for _, s := range w.servers {
		for _, r := range s.observed() {
			runs[r.id]++
		}
	}
	twice := make(map[string]int)
	for request, count := range runs {
		if count > 1 {
			twice[request[:1]]++
			w.note("ran %d times: %s", count, request)
		}
	}
	if answered.Load() < int64(len(runs))*9/10 {
		cannotRun("only %d of %d requests were answered", answered.Load(), len(runs))
	}
	w.finish(len(twice) > 0, "TWICE: of %d requests of a non_idempotent route (%d answered, %d answers lost), %d GET, %d POST without a body and with an Idempotency-Key, %d POST with a body ran more than once",
		len(runs), answered.Load(), lostCount, twice["g"], twice["k"], twice["p"])
}

func (w *world) addEngines(pieces int, pace time.Duration) {
	w.addServers(models, 3, 8, func(s *server) { s.pieces, s.pace = pieces, pace })
	w.addServers(portal, 2, 6, plain)
}

// refused lets the store fail as it makes the write of a submission, and answer 503
// from then on. The trainer is refused at every attempt.
func refused(w *world) {
	const (
		busy     = 4500 * time.Millisecond
		deadline = 4400 * time.Millisecond
		job      = "7c41e09b52d6a3f8"
		items    = 4
	)
	w.addEngines(20, 50*time.Millisecond)
	w.configure(1, judgeRoute, trainRoute)
	w.addDaemons(3)
	if w.trouble {
		w.store.mu.Lock()
		struck := false
		w.store.onCommit = func(keys []string) bool {
			for _, key := range keys {
				if !struck && strings.Contains(key, job) {
					struck = true
					w.note("store: the write of the submission is made, its answer is lost; 503 for %v", busy)
					w.store.beBusy(busy)
					return true
				}
			}
			return false
		}
		w.store.mu.Unlock()
	}
	began := time.Now()
	var last answer
	refusals, attempts, accepted := 0, 0, false
	for ; attempts < 2 && !accepted; attempts++ {
		left := deadline - time.Since(began)
		if left < 100*time.Millisecond {
			break
		}
		last = w.submit(w.daemons[attempts], job, items, left)
		accepted = last.err == nil && last.status == http.StatusAccepted
		if last.err == nil && (last.status == http.StatusTooManyRequests || last.status == http.StatusServiceUnavailable) {
			refusals++
		}
		time.Sleep(min(last.retryAfter, time.Second))
	}
	w.note("trainer: %d attempts, %d refused", attempts, refusals)
	time.Sleep(40 * time.Second)
	ran := 0
	for _, s := range w.serversOf(models) {
		ran += len(s.observed())
	}
	allRefused := refusals == attempts
	if !w.trouble && (!accepted || ran < items) {
		cannotRun("without trouble: accepted=%t, %d runs", accepted, ran)
	}
	w.finish(allRefused && ran > 0, "REFUSED: %d attempts, %d answered 429 or 503, %d runs of its items at engines", attempts, refusals, ran)
}

// stuck kills the daemon that runs a batch job of a singleVersion route. It starts again
// at once.
func stuck(w *world) {
	const (
		job      = "4d07c1aa90be7732"
		items    = 8
		due      = 30 * time.Second
		slack    = 700 * time.Millisecond
		killAt   = 4 * time.Second
		restart  = 500 * time.Millisecond
		idleTime = 5 * time.Second
	)
	w.addEngines(60, 110*time.Millisecond)
	w.configure(1, judgeRoute, trainRoute.with("singleVersion", true))
	w.addDaemons(3)
	began := time.Now()
	if got := w.submit(w.daemons[0], job, items, 4*time.Second); got.err != nil || got.status != http.StatusAccepted {
		cannotRun("the batch job was not accepted: %v", got)
	}
	steadyFrom := began
	if w.trouble {
		time.Sleep(time.Until(began.Add(killAt)))
		owner := w.ownerOf(job)
		w.signal(owner, syscall.SIGKILL)
		time.Sleep(restart)
		w.startDaemon(owner, false)
		steadyFrom = time.Now().Add(contact)
	}
	done := w.readAll(w.daemons[1], job, items, began.Add(due+slack))
	end := time.Now()
	missing, idle := 0, 0
	for n := range items {
		item := fmt.Sprintf("%s-i%02d", job, n)
		if done[item] != "" {
			continue
		}
		missing++
		if w.longestAway(item, steadyFrom, began.Add(due)) >= idleTime {
			idle++
		}
	}
	short := 0
	for _, s := range w.serversOf(models) {
		for _, r := range s.observed() {
			if r.callerGone && r.endedAt.Sub(r.startedAt) < time.Second && r.startedAt.After(steadyFrom) {
				short++
			}
		}
	}
	if !w.trouble && missing > 0 {
		cannotRun("without trouble %d items are missing", missing)
	}
	w.finish(idle > 0, "LOST: %d of %d items have no result %.1f s after the submission (due in %v), %d of them were at no server for %v of steady state; %d runs were ended by their sender within a second",
		missing, items, end.Sub(began).Seconds(), due, idle, idleTime, short)
}

// ownerOf returns the daemon that the store names as the owner of a batch job.
func (w *world) ownerOf(job string) *daemon {
	for _, key := range w.store.keys("flamingobeam/job/owner/") {
		for _, d := range w.daemons {
			if strings.HasSuffix(key, job) && strings.Contains(w.store.value(key), `"`+d.name+".") {
				return d
			}
		}
	}
	cannotRun("the owner of %s is not known", job)
	return nil
}

// readAll reads results until all are there or time is up, and returns their states.
func (w *world) readAll(d *daemon, job string, items int, until time.Time) map[string]string {
	done, position := make(map[string]string), 0
	for len(done) < items && time.Now().Before(until) {
		found, got := w.read(d, job, position)
		if got.err == nil && got.status == http.StatusOK {
			position = found.Next
			for _, r := range found.Results {
				done[r.ID] = r.State
				w.note("trainer: result of %s: %s, %d bytes", r.ID, r.State, len(r.Output))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return done
}

// longestAway returns the longest time between two moments in which an item was at no
// server. A run that its sender ended within a second doesn't count.
func (w *world) longestAway(item string, from, to time.Time) time.Duration {
	var spans [][2]time.Time
	for _, s := range w.serversOf(models) {
		for _, r := range s.observed() {
			end := r.endedAt
			if end.IsZero() {
				end = to
			}
			if r.id == item && !(r.callerGone && end.Sub(r.startedAt) < time.Second) {
				spans = append(spans, [2]time.Time{r.startedAt, end})
			}
		}
	}
	longest, since := time.Duration(0), from
	for at := from; at.Before(to); at = at.Add(50 * time.Millisecond) {
		for _, span := range spans {
			if !at.Before(span[0]) && at.Before(span[1]) {
				since = at
			}
		}
		longest = max(longest, at.Sub(since))
	}
	return longest
}

// unread removes the route of a batch job whose results have been read. It is the only
// route of its host.
func unread(w *world) {
	const (
		job     = "51b0e2f4c6d89a07"
		items   = 4
		apply   = 3 * time.Second
		stretch = time.Second
	)
	w.addEngines(10, 50*time.Millisecond)
	w.configure(1, judgeRoute, trainRoute)
	w.addDaemons(3)
	if got := w.submit(w.daemons[0], job, items, 4*time.Second); got.err != nil || got.status != http.StatusAccepted {
		cannotRun("the batch job was not accepted: %v", got)
	}
	done := w.readAll(w.daemons[1], job, items, time.Now().Add(15*time.Second))
	if len(done) < items {
		cannotRun("only %d of %d results", len(done), items)
	}
	if w.trouble {
		w.configure(2, judgeRoute)
	}
	time.Sleep(apply + stretch)
	lost, kept := 0, 0
	for range 4 {
		for _, d := range w.daemons {
			_, got := w.read(d, job, 0)
			switch {
			case got.err == nil && (got.status == http.StatusNotFound || got.status == http.StatusGone):
				lost++
			case got.err == nil && got.status == http.StatusOK:
				kept++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !w.trouble && kept == 0 {
		cannotRun("no read succeeded without trouble")
	}
	w.finish(lost > 0, "LOST: of 12 reads of results that had been read before, %d were answered 404 or 410 and %d with the results", lost, kept)
}

// cut stops a daemon while it serves streams that end before the last sixth of graceS.
func cut(w *world) {
	const (
		grace   = 8 * time.Second
		streams = 6
		pieces  = 70
		pace    = 100 * time.Millisecond
		ahead   = 900 * time.Millisecond
	)
	w.addServers(portal, 3, 6, func(s *server) { s.pieces, s.pace = pieces, pace })
	w.configure(1, judgeRoute, streamRoute)
	w.addDaemons(3)
	d := w.daemons[0]
	var group sync.WaitGroup
	answers := make([]answer, streams)
	ends := make([]time.Time, streams)
	ids := make([]string, streams)
	for n := range streams {
		ids[n] = fmt.Sprintf("s%015d", n)
		group.Add(1)
		go func() {
			defer group.Done()
			answers[n] = w.send(oneUse(), d, request{method: "POST", host: portalHost, path: streamPrefix + "2f", id: ids[n], deadline: 12 * time.Second, body: "a prompt"})
			ends[n] = time.Now()
			w.note("client: stream id=%s at %s: %v", ids[n], d.name, answers[n])
		}()
	}
	time.Sleep(ahead)
	signaled := time.Now()
	if w.trouble {
		w.signal(d, syscall.SIGTERM)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	broken, whole := 0, 0
	for n := range streams {
		last := fmt.Sprintf("id: %d\ndata: %s\n\n", pieces, eventText(ids[n], pieces))
		isWhole := answers[n].err == nil && answers[n].status == http.StatusOK && strings.HasSuffix(answers[n].body, last)
		if isWhole {
			whole++
			continue
		}
		begun := w.runOf(ids[n])
		if begun == nil || !w.trouble {
			continue
		}
		// The server was not at work in the last sixth of graceS, it did not break off,
		// and neither the deadline nor the time-out of the route was reached.
		atWork := begun.endedAt.After(signaled.Add(grace * 5 / 6))
		if begun.callerGone && !atWork && ends[n].Before(signaled.Add(grace+time.Second)) {
			broken++
			w.note("cut: id=%s %.2f s after the SIGTERM, after event %d of %d", ids[n], ends[n].Sub(signaled).Seconds(), begun.events, pieces)
		}
	}
	if !w.trouble && whole < streams {
		cannotRun("without trouble only %d of %d streams were whole", whole, streams)
	}
	w.finish(broken > 0, "LOST: of %d streams that the stopping daemon had passed on, %d ended without a complete answer, %d were whole", streams, broken, whole)
}

func (w *world) runOf(id string) *run {
	for _, s := range w.servers {
		for _, r := range s.observed() {
			if r.id == id {
				return &r
			}
		}
	}
	return nil
}
