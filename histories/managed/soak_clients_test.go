package managed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/emulate/soak"
)

// Times of the clients.
const (
	lookUpDeadline = 2 * time.Second
	streamDeadline = 18 * time.Second
	// clientPatience is how much longer than its deadline a client waits.
	clientPatience = 1500 * time.Millisecond
	// openJobs is how many batch jobs a trainer leaves open at once.
	openJobs = 4
	// settleTime is how long accepted jobs may need after the last step and the hosts have
	// been in touch again; it grows as the player is held up.
	settleTime = 25 * time.Second
)

// noAnswer stands for the status of a read without a whole response.
const noAnswer = 599

// Numbers of sequences of random numbers.
const callerClients, streamClients, trainerClients, dutyReplies = 1000, 2000, 3000, 4000

// startLoad starts all clients.
func (s *soakPlayer) startLoad() {
	for i := range s.plan.Callers {
		s.clients.Go(func() { s.lookUp(i, s.random(callerClients+i)) })
	}
	for i := range s.plan.Trainers {
		s.clients.Go(func() { s.train(i, s.random(trainerClients+i)) })
	}
	for i, host := range s.hosts {
		s.clients.Go(func() { s.stream(host, s.random(streamClients+i)) })
		s.probes.Go(func() { s.probe(host) })
	}
}

// call sends a request and notes what its caller saw.
func (s *soakPlayer) call(conn *soakConn, host *soakHost, method string, header map[string]string, body string, deadline time.Duration, c soak.Call) soak.Call {
	p, _ := host.current()
	if p == nil && conn.conn == nil {
		time.Sleep(20 * time.Millisecond)
		if c.Host = host.name; c.Final {
			s.note(func(r *soak.Record) { r.Calls = append(r.Calls, c) })
		}
		return c
	}
	address := conn.address
	if conn.conn == nil {
		address = p.address
	}
	header = s.withHeaders(header, c.ID, deadline)
	c.Host, c.Sent = host.name, s.now()
	answer := conn.send(address, method, routeHostname, c.Path, header, body, deadline+clientPatience)
	c.Ended, c.Status, c.Cut = s.now(), answer.status, answer.isCut
	if text := answer.body; c.Status != 0 {
		if c.Service == engineService {
			text = eventsOf(text)
		}
		c.Got = answer.header.Get("Server-Stamp") + "|" + text
	}
	s.note(func(r *soak.Record) { r.Calls = append(r.Calls, c) })
	return c
}

func (s *soakPlayer) withHeaders(header map[string]string, id string, deadline time.Duration) map[string]string {
	all := map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}
	if id != "" {
		all["Attempt-Id"] = id
	}
	if s.plan.Workspaces {
		all["X-Api-Key"] = northKey
	}
	for name, value := range header {
		all[name] = value
	}
	return all
}

// eventsOf returns the data of the whole events of a stream, in order.
func eventsOf(stream string) string {
	var data []string
	for event := range strings.SplitAfterSeq(stream, "\n\n") {
		for line := range strings.Lines(event) {
			if text, ok := strings.CutPrefix(line, "data: "); ok && strings.HasSuffix(event, "\n\n") {
				data = append(data, strings.TrimSuffix(text, "\n"))
			}
		}
	}
	return strings.Join(data, "\n")
}

// lookUp sends plain requests to all hosts, on connections that stay open. Half of the
// callers send requests that may run once.
func (s *soakPlayer) lookUp(caller int, r *rand.Rand) {
	conns := make([]soakConn, len(s.hosts))
	for i := 0; s.isLoading(time.Duration(10+r.IntN(40)) * time.Millisecond); i++ {
		host, id := r.IntN(len(s.hosts)), fmt.Sprintf("look-%d-%d", caller, i)
		c := soak.Call{ID: id, Service: plainService, Path: fmt.Sprintf("/status/%d", i)}
		if caller%2 == 0 {
			c.Kind, c.Path = soak.Once, fmt.Sprintf("/claims/%d", i)
			if r.IntN(10) == 0 {
				c.Path, c.Service = fmt.Sprintf("/extra/%d", i), extraService
			}
		}
		method, body, header := http.MethodPost, "", map[string]string{}
		switch r.IntN(4) {
		case 0, 1:
			method = http.MethodGet
		case 2:
			header["Idempotency-Key"] = id
		case 3:
			body = "a body of " + id
		}
		c.Want = serverStamp(id) + "|" + fmt.Sprintf("%s %s by %s", method, c.Path, id)
		s.call(&conns[host], s.hosts[host], method, header, body, lookUpDeadline, c)
	}
	for i := range conns {
		conns[i].close()
	}
}

// stream opens streams at a host, so many that together they take half of the engines.
func (s *soakPlayer) stream(host *soakHost, r *rand.Rand) {
	length := time.Duration(s.plan.Events) * s.plan.Pace
	pause := max(100*time.Millisecond, length*time.Duration(len(s.hosts))/time.Duration(4*len(s.engines)))
	for i := 0; s.isLoading(pause/2 + time.Duration(r.Int64N(int64(pause)))); i++ {
		id := fmt.Sprintf("stream-%s-%d", host.name, i)
		c := soak.Call{ID: id, Service: engineService, Path: "/stream/1", Want: serverStamp(id) + "|" + outputText(id, s.plan.Events)}
		if !s.plan.Resumable {
			c.Kind = soak.Once
		}
		s.clients.Go(func() {
			var conn soakConn
			s.call(&conn, host, http.MethodPost, map[string]string{"Model": modelName, "Token-Count": "100,400"}, "prompt", streamDeadline, c)
			conn.close()
		})
	}
}

// probe asks a host for the newest routes, and with keys that come and go, until the end.
func (s *soakPlayer) probe(host *soakHost) {
	var conn soakConn
	defer conn.close()
	send := func(path, key string) soak.Probe {
		p, incarnation := host.current()
		probe := soak.Probe{Host: host.name, Incarnation: incarnation, Key: key, Sent: s.now()}
		if p == nil {
			return probe
		}
		header := s.withHeaders(nil, fmt.Sprintf("look-probe-%s-%d", host.name, probe.Sent), lookUpDeadline)
		if key != "" {
			header["X-Api-Key"] = key
		}
		s.note(func(r *soak.Record) {
			r.Calls = append(r.Calls, soak.Call{ID: header["Attempt-Id"], Service: plainService})
		})
		probe.Status = conn.send(p.address, http.MethodGet, routeHostname, path, header, "", lookUpDeadline+clientPatience).status
		probe.Ended = s.now()
		return probe
	}
	for staysOpen(s.probesOver, time.Duration(50+20*len(s.hosts))*time.Millisecond) {
		s.mu.Lock()
		newest, keys := s.settings.generation, make([]string, 0, len(s.record.Keys))
		for key, k := range s.record.Keys {
			if k.Removed == 0 || s.now()-k.Removed < 15*time.Second {
				keys = append(keys, key)
			}
		}
		s.mu.Unlock()
		slices.Sort(keys)
		var probes []soak.Probe
		for generation := max(1, newest-1); generation <= newest; generation++ {
			p := send(fmt.Sprintf("/at-%d/", generation), "")
			p.Generation = generation
			probes = append(probes, p)
		}
		for _, key := range keys {
			probes = append(probes, send("/status/key", key))
		}
		s.note(func(r *soak.Record) { r.Probes = append(r.Probes, probes...) })
	}
}

// soakJob is a batch job of a trainer. The player's mutex guards it.
type soakJob struct {
	soak.Job
	route int
	read  int
}

// train submits batch jobs, gives up those that are refused for too long, reads the others
// and ends some of them early.
func (s *soakPlayer) train(trainer int, r *rand.Rand) {
	open := make(chan struct{}, openJobs)
	for i := 0; s.isLoading(time.Duration(200+r.IntN(800)) * time.Millisecond); i++ {
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		job := &soakJob{route: r.IntN(len(s.plan.JobRoutes))}
		job.ID, job.SingleVersion = fmt.Sprintf("job-%d-%d", trainer, i), s.plan.JobRoutes[job.route].SingleVersion
		for item := range s.plan.Items {
			job.Items = append(job.Items, fmt.Sprintf("%s-%d", job.ID, item))
		}
		s.mu.Lock()
		job.MinVersion = max(1, s.weights-uint64(r.IntN(2)))
		if s.settings.dropped[job.route] {
			job.RouteGone = s.now()
		}
		s.jobs = append(s.jobs, job)
		s.mu.Unlock()
		attempts, isEndedEarly := 1+r.IntN(4), r.IntN(2) == 0
		first := r.IntN(len(s.hosts))
		s.clients.Go(func() {
			defer func() { <-open }()
			s.submit(job, i, first, attempts)
			s.follow(job, first, isEndedEarly)
		})
	}
}

// askJob sends a request about a batch job on a connection of its own.
func (s *soakPlayer) askJob(host *soakHost, job *soakJob, method, path, id, body string, deadline time.Duration) soakAnswer {
	p, _ := host.current()
	if p == nil {
		time.Sleep(20 * time.Millisecond)
		return soakAnswer{}
	}
	var conn soakConn
	defer conn.close()
	hostname, _ := jobPath(job.route)
	return conn.send(p.address, method, hostname, path, s.withHeaders(map[string]string{"Wait-Ms": "200"}, id, deadline), body, deadline+clientPatience)
}

// submit submits a job, at each attempt at another host, until it is accepted.
func (s *soakPlayer) submit(job *soakJob, step, first, attempts int) {
	_, prefix := jobPath(job.route)
	body := strings.ReplaceAll(jobBody(job.ID, step, int(job.MinVersion), s.plan.Items/2, 2), "/train/", prefix)
	for attempt := range attempts {
		host := s.hosts[(first+attempt)%len(s.hosts)]
		answer := s.askJob(host, job, http.MethodPost, prefix+job.ID, job.ID, body, lookUpDeadline)
		s.mu.Lock()
		job.Statuses = append(job.Statuses, answer.status)
		if answer.status == http.StatusAccepted {
			job.Accepted = s.now()
		}
		s.mu.Unlock()
		if answer.status == http.StatusAccepted || !s.isLoading(300*time.Millisecond) {
			return
		}
	}
}

// follow reads an accepted job until it is complete, ended early or load is over.
func (s *soakPlayer) follow(job *soakJob, first int, isEndedEarly bool) {
	accepted := job.Accepted
	for n := first; accepted > 0 && job.read < len(job.Items) && s.isLoading(250*time.Millisecond); n++ {
		host := s.hosts[n%len(s.hosts)]
		if isEndedEarly && s.now() > accepted+time.Second {
			s.note(func(*soak.Record) { job.EndTried = true })
			if s.askJob(host, job, http.MethodDelete, "/api/lots/"+job.ID, "", "", lookUpDeadline).status == http.StatusOK {
				s.note(func(*soak.Record) { job.Ended = s.now() })
				return
			}
			continue
		}
		s.readJob(host, job, job.read, false)
	}
}

// readJob reads results of a job after a position, notes them and returns the status.
func (s *soakPlayer) readJob(host *soakHost, job *soakJob, after int, isFinal bool) int {
	read := soak.Read{Job: job.ID, Host: host.name, Sent: s.now(), After: after, Final: isFinal}
	path := fmt.Sprintf("/api/lots/%s?after=%d", url.PathEscape(job.ID), after)
	answer := s.askJob(host, job, http.MethodGet, path, "", "", lookUpDeadline)
	read.Status = answer.status
	if read.Status == 0 {
		read.Status = noAnswer
	}
	var page resultPage
	if answer.status == http.StatusOK && (answer.isCut || json.Unmarshal([]byte(answer.body), &page) != nil) {
		read.Status = noAnswer
	}
	read.Total = page.Total
	for _, r := range page.Results {
		read.Results = append(read.Results, soak.Result{ID: r.ID, State: r.State, Versions: r.Versions,
			Text: r.Output, WantText: outputText(r.ID, s.plan.Events), Score: r.Score, WantScore: serverStamp("judge-" + r.ID)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	job.read = max(job.read, after+len(read.Results))
	s.record.Reads = append(s.record.Reads, read)
	return read.Status
}

// settle waits, for a while, until all hosts are ready and all jobs that were accepted, and
// that nobody has ended, are complete.
func (s *soakPlayer) settle() {
	until := s.now() + settleTime
	for n, isSettled := 0, false; !isSettled; n++ {
		time.Sleep(250 * time.Millisecond)
		s.mu.Lock()
		isLate := s.now() > until+s.record.Slack
		s.mu.Unlock()
		isSettled = !slices.ContainsFunc(s.hosts, func(host *soakHost) bool {
			p, _ := host.current()
			return p == nil || !p.isReady()
		})
		for _, job := range s.jobs {
			if job.Accepted > 0 && !job.EndTried && job.RouteGone == 0 && job.read < len(job.Items) {
				s.readJob(s.hosts[n%len(s.hosts)], job, job.read, false)
				isSettled = false
			}
		}
		isSettled = isSettled || isLate
	}
}

// readAll reads all accepted jobs from the start at all hosts, when these are in touch, and
// sends a few requests to each.
func (s *soakPlayer) readAll() {
	const inTouch, attempts = 5 * time.Second, 3
	time.Sleep(s.started + s.plan.Length + inTouch - s.now())
	for _, host := range s.hosts {
		for _, job := range s.jobs {
			for range attempts {
				if job.Accepted == 0 || s.readJob(host, job, 0, true) < http.StatusInternalServerError {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		var conn soakConn
		for i := range 12 {
			id := fmt.Sprintf("look-final-%s-%d", host.name, i)
			s.call(&conn, host, http.MethodGet, nil, "", lookUpDeadline, soak.Call{ID: id, Service: plainService, Path: "/status/final",
				Want: serverStamp(id) + "|GET /status/final by " + id, Final: true})
		}
		conn.close()
	}
}
