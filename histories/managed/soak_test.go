package managed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/emulate/soak"
)

// Flags of scripts/soak.sh.
var (
	soakSeeds   = flag.String("soak.seeds", "", "seeds to play, FROM-TO")
	soakSeconds = flag.Int("soak.seconds", 14, "how long steps are drawn for")
	soakDaemon  = flag.String("soak.daemon", "", "path of the daemon to play, instead of the one of this tree")
	soakEarlier = flag.String("soak.earlier", "", "path of an earlier daemon that runs on some hosts")
	soakOut     = flag.String("soak.out", "", "folder for the logs of seeds that fail")
)

// shortSeeds are played in CI: on the daemon of 6faf5d1 they find three of the cases of review/.
var shortSeeds = []uint64{4, 14}

// TestSoak_Short plays fixed seeds.
func TestSoak_Short(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playSeed(t, soak.Draw(seed, 14*time.Second)) })
	}
}

// TestSoak_Seeds plays the seeds that scripts/soak.sh names, one after the other.
func TestSoak_Seeds(t *testing.T) {
	if *soakSeeds == "" {
		t.Skip("played by scripts/soak.sh")
	}
	var from, to uint64
	_, err := fmt.Sscanf(*soakSeeds, "%d-%d", &from, &to)
	must.NoError(t, err)
	var table []string
	for seed := from; seed <= to; seed++ {
		plan := soak.Draw(seed, time.Duration(*soakSeconds)*time.Second)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			record, violations := playSeed(t, plan)
			rules := make(map[string]int)
			for _, v := range violations {
				rules[v.Rule]++
			}
			fmt.Printf("seed %d: %v; %d requests, %d jobs; slack %v; %d violations %v\n", seed, plan,
				len(record.Calls), len(record.Jobs), record.Slack.Round(time.Millisecond), len(violations), rules)
			if len(violations) > 0 {
				table = append(table, fmt.Sprintf("%6d  %v", seed, rules))
			}
		})
	}
	fmt.Printf("%d seeds, %d with violations\n%s\n", to-from+1, len(table), strings.Join(table, "\n"))
}

// soakPlayer acts a plan out with daemons as processes and fills its record.
type soakPlayer struct {
	*harness
	plan    soak.Plan
	created time.Time
	// started is when load began, from which the plan's times count.
	started time.Duration
	hosts   []*soakHost
	plain   []*soakPlain
	extra   *soakPlain
	links   []*faultyLink
	duties  *dutyPlatform
	// loadOver, probesOver and over are closed when load ends, when probes do, and when
	// daemons are no longer started.
	loadOver, probesOver, over      chan struct{}
	clients, probes, steps, keepers sync.WaitGroup

	mu       sync.Mutex
	record   soak.Record
	jobs     []*soakJob
	weights  uint64
	settings soakSettings
}

// now is the time since the player was made.
func (s *soakPlayer) now() time.Duration { return time.Since(s.created) }

// note changes the record.
func (s *soakPlayer) note(change func(*soak.Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.record)
}

// isLoading waits for a pause and reports whether load goes on.
func (s *soakPlayer) isLoading(pause time.Duration) bool { return staysOpen(s.loadOver, pause) }

// staysOpen waits for a pause and reports whether a channel has not been closed.
func staysOpen(over <-chan struct{}, pause time.Duration) bool {
	select {
	case <-over:
		return false
	case <-time.After(pause):
		return true
	}
}

// playSeed plays a plan and reports its violations as failures of the test.
func playSeed(t *testing.T, plan soak.Plan) (*soak.Record, []soak.Violation) {
	s := newSoakPlayer(t, plan)
	defer s.end()
	s.startHosts()
	s.started = s.now()
	s.startLoad()
	for _, step := range plan.Steps {
		time.Sleep(s.started + step.At - s.now())
		s.play(step)
	}
	time.Sleep(s.started + plan.Length - s.now())
	close(s.loadOver)
	s.steps.Wait()
	s.clients.Wait()
	s.settle()
	s.readAll()
	close(s.probesOver)
	s.probes.Wait()
	record := s.collect()
	violations := soak.Check(record)
	for _, v := range violations {
		t.Errorf("seed %d: %s: %s", plan.Seed, v.Rule, v.Detail)
	}
	if len(violations) > 0 && *soakOut != "" {
		s.keepReport(record, violations)
	}
	return record, violations
}

func newSoakPlayer(t *testing.T, plan soak.Plan) *soakPlayer {
	s := &soakPlayer{
		harness: newHarness(t), plan: plan, created: time.Now(), loadOver: make(chan struct{}), probesOver: make(chan struct{}), over: make(chan struct{}), weights: 1,
		record: soak.Record{Plan: plan, Acks: make(map[int]time.Duration), Keys: make(map[string]soak.Key), HolderLease: testHolderLease},
	}
	s.duties = newDutyPlatform(t)
	replies := s.random(dutyReplies)
	s.duties.setFault(func() int {
		return []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusTooManyRequests, 0}[replies.IntN(5)]
	})
	s.changeSettings(func(*soakSettings) {})
	for i := range plan.PlainServers {
		s.plain = append(s.plain, s.addSoakPlain(fmt.Sprint("plain-", i), plainService))
	}
	s.extra = s.addSoakPlain("extra-1", extraService)
	s.store.removeKey("servers/" + s.extra.id)
	for i, software := range plan.Software {
		e := s.addEngineOf(fmt.Sprint("v", software), fmt.Sprint("engine-", i), plan.Events, plan.Pace)
		link := newFaultyLink(t, e.server.Listener.Addr().String())
		e.mu.Lock()
		e.advertised = link.address()
		e.mu.Unlock()
		e.putEntry()
		s.links = append(s.links, link)
	}
	return s
}

// random returns random numbers of the plan for one of its clients.
func (s *soakPlayer) random(client int) *rand.Rand {
	return rand.New(rand.NewPCG(s.plan.Seed, uint64(client)))
}

// collect completes the record by what servers and the platform saw.
func (s *soakPlayer) collect() *soak.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.record
	r.Slack += time.Second
	for _, p := range append(s.plain, s.extra) {
		p.mu.Lock()
		for i, id := range p.attemptIDs {
			r.Runs = append(r.Runs, soak.Run{ID: id, Server: p.id, Service: p.service, Begun: p.arrivals[i].Sub(s.created)})
		}
		p.mu.Unlock()
	}
	for _, e := range s.engines {
		for _, run := range e.observedRuns() {
			r.Runs = append(r.Runs, soak.Run{ID: run.item, Server: e.id, Service: engineService, Software: e.software,
				Begun: run.startedAt.Sub(s.created), After: int(run.resumedAfter), Events: run.eventsSent, Versions: run.versions})
		}
	}
	for _, job := range s.jobs {
		r.Jobs = append(r.Jobs, job.Job)
	}
	for _, call := range s.duties.received() {
		r.Duties = append(r.Duties, soak.DutyCall{At: call.at.Sub(s.created), Holder: call.holder, Token: call.token,
			Window: call.window, Counts: fmt.Sprint(call.counts)})
	}
	return r
}

// keepReport writes the violations, steps and troubles of a seed to its folder, and copies the
// logs of all processes.
func (s *soakPlayer) keepReport(record *soak.Record, violations []soak.Violation) {
	folder := filepath.Join(*soakOut, fmt.Sprint("seed-", s.plan.Seed))
	must.NoError(s.t, os.MkdirAll(folder, 0o755))
	report := fmt.Sprintln(s.plan)
	for _, v := range violations {
		report += fmt.Sprintf("%s: %s\n", v.Rule, v.Detail)
	}
	for _, step := range s.plan.Steps {
		report += fmt.Sprintf("%v %s for %v, target %d, mode %d, share %.2f\n", s.started+step.At, step.Kind, step.For, step.Target, step.Mode, step.Share)
	}
	for _, trouble := range record.Troubles {
		report += fmt.Sprintf("trouble %q from %v to %v\n", trouble.Host, trouble.From, trouble.To)
	}
	must.NoError(s.t, os.WriteFile(filepath.Join(folder, "report"), []byte(report), 0o644))
	for _, host := range s.hosts {
		host.mu.Lock()
		for i, path := range host.logs {
			content, err := os.ReadFile(path)
			must.NoError(s.t, err)
			must.NoError(s.t, os.WriteFile(filepath.Join(folder, fmt.Sprintf("%s.%d.log", host.name, i+1)), content, 0o644))
		}
		host.mu.Unlock()
	}
}
