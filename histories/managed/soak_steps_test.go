package managed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/flamingobeam/flamingobeam/emulate/soak"
)

// extraService is a plain service that comes and goes with its route.
const extraService = "archive"

// soakPlain is a plain server behind a link that can be harmed.
type soakPlain struct {
	*plainServer
	service string
	link    *faultyLink
	born    int64
}

func (s *soakPlayer) addSoakPlain(id, service string) *soakPlain {
	p := &soakPlain{plainServer: s.addPlain(id), service: service}
	p.link = newFaultyLink(s.t, p.server.Listener.Addr().String())
	s.links = append(s.links, p.link)
	s.putPlain(p, "ready")
	return p
}

func (s *soakPlayer) putPlain(p *soakPlain, state string) {
	s.putServerEntry(p.id, p.service, p.link.address(), state, nil, p.born)
}

// soakSettings is what the operator changes in a run. Routes of earlier generations stay.
type soakSettings struct {
	version, generation, keys int
	dropped                   map[int]bool
	hasExtra                  bool
	// secondKey is a further key of the workspace that stays, guestKey that of another one.
	secondKey, guestKey string
}

// jobPath returns the hostname and the prefix of a route of batch jobs.
func jobPath(route int) (hostname, prefix string) {
	if route == 0 {
		return routeHostname, "/train/"
	}
	return fmt.Sprintf("train-%d.example", route), fmt.Sprintf("/train-%d/", route)
}

// changeSettings changes the configuration and writes its next version.
func (s *soakPlayer) changeSettings(change func(*soakSettings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.settings
	if c.dropped == nil {
		c.dropped = make(map[int]bool)
	}
	change(c)
	c.version++
	c.generation++
	stream := routeConfig("/stream/", "streaming")
	stream["service"], stream["timeoutMs"], stream["resumable"] = engineService, 20000, s.plan.Resumable
	judge := routeConfig("/judge/", "idempotent")
	judge["authExempt"], judge["timeoutMs"] = true, 10000
	routes := []map[string]any{routeConfig("/status/", "idempotent"), routeConfig("/claims/", "non_idempotent"), stream, judge}
	for generation := 1; generation <= c.generation; generation++ {
		routes = append(routes, routeConfig(fmt.Sprintf("/at-%d/", generation), "idempotent"))
	}
	if c.hasExtra {
		extra := routeConfig("/extra/", "non_idempotent")
		extra["service"] = extraService
		routes = append(routes, extra)
	}
	for i, route := range s.plan.JobRoutes {
		if !c.dropped[i] {
			hostname, prefix := jobPath(i)
			routes = append(routes, map[string]any{"name": prefix, "hostname": hostname, "pathPrefix": prefix, "routeType": "rollout",
				"service": engineService, "targetLatencyMs": 400, "resultDeadlineMs": 30000, "itemTtlS": 300, "timeoutMs": 30000,
				"singleVersion": route.SingleVersion})
		}
	}
	for _, route := range routes {
		route["maxAttempts"] = s.plan.MaxAttempts
	}
	services := []map[string]any{{"name": engineService, "healthPath": "/healthz", "maxConnections": 100,
		"engine": map[string]any{"slots": 8, "stride": 64, "models": []map[string]any{{"name": modelName}}}}}
	for _, name := range []string{plainService, extraService} {
		if name == plainService || c.hasExtra {
			services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 100})
		}
	}
	configuration := map[string]any{"version": c.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	if s.plan.Workspaces {
		workspaces := []map[string]any{workspace("north", northKey)}
		if c.secondKey != "" {
			workspaces[0] = workspace("north", northKey, c.secondKey)
		}
		if c.guestKey != "" {
			workspaces = append(workspaces, workspace("guest", c.guestKey))
		}
		configuration["tenants"] = workspaces
		s.record.Keys[northKey] = soak.Key{}
	}
	s.store.put("op/config", configuration)
	s.record.Acks[c.generation] = s.now()
}

// play begins a step. What ends it later runs beside further steps.
func (s *soakPlayer) play(step soak.Step) {
	host, server := s.hosts[step.Target%len(s.hosts)], step.Target%len(s.links)
	p, _ := host.current()
	// during lets a fault last, and notes it as trouble of a host or, without one, of all.
	during := func(host string, begin, end func()) {
		from := s.now()
		begin()
		s.steps.Go(func() {
			time.Sleep(step.For)
			end()
			s.trouble(host, from)
		})
	}
	store := func(begin, end func(*storeEmulator)) {
		during("", func() { s.store.update(begin) }, func() { s.store.update(end) })
	}
	signal := func(number syscall.Signal) func() {
		return func() {
			if current, _ := host.current(); p != nil && current == p {
				_ = p.command.Process.Signal(number)
			}
		}
	}
	switch step.Kind {
	case soak.Stop:
		s.stop(host)
	case soak.StopTwice:
		s.stop(host)
		s.steps.Go(func() { time.Sleep(step.For / 8); signal(syscall.SIGTERM)() })
	case soak.StopThenKill:
		s.stop(host)
		s.steps.Go(func() { time.Sleep(step.For); s.kill(host, p) })
	case soak.Kill:
		s.kill(host, p)
	case soak.Pause:
		during(host.name, signal(syscall.SIGSTOP), signal(syscall.SIGCONT))
	case soak.StoreLink:
		during(host.name, func() { host.link.set(step.Mode) }, func() { host.link.set(soak.LinkUp) })
	case soak.ServerLink:
		during("", func() { s.links[server].set(step.Mode) }, func() { s.links[server].set(soak.LinkUp) })
	case soak.StoreDown:
		store(func(e *storeEmulator) { e.down = true }, func(e *storeEmulator) { e.down = false })
	case soak.StoreFailing:
		r := s.random(step.Target)
		store(func(e *storeEmulator) {
			e.disturb = func([]string) disturbance {
				if r.Float64() < step.Share {
					return loseReply
				}
				return refuseCall
			}
		}, func(e *storeEmulator) { e.disturb, e.down = nil, false })
		s.steps.Go(func() {
			time.Sleep(step.For / 2)
			s.store.update(func(e *storeEmulator) { e.down = e.disturb != nil })
		})
	case soak.StoreSlow:
		store(func(e *storeEmulator) { e.latency = 400 * time.Millisecond }, func(e *storeEmulator) { e.latency = 0 })
	case soak.SilentWatch:
		store(func(e *storeEmulator) { e.silentWatches = true }, func(e *storeEmulator) { e.silentWatches = false })
	case soak.LostAnswers, soak.SlowServer:
		p := s.plain[step.Target%len(s.plain)]
		during("", func() { p.disturb(step, s.random(step.Target)) }, func() { p.update(func() { p.faults = nil }) })
	case soak.EngineCrash:
		during("", s.engines[step.Target%len(s.engines)].server.CloseClientConnections, func() {})
	case soak.Leave:
		s.leave(step)
	case soak.Weights:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.weights++
		s.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": s.weights})
	case soak.Routes:
		s.changeSettings(func(c *soakSettings) { c.hasExtra = !c.hasExtra })
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.settings.hasExtra {
			s.putPlain(s.extra, "ready")
		} else {
			s.store.removeKey("servers/" + s.extra.id)
		}
	case soak.DropRoute:
		s.changeSettings(func(c *soakSettings) { s.dropRoute(c, 1+step.Target%(len(s.plan.JobRoutes)-1)) })
	case soak.Keys:
		s.changeKeys()
	case soak.Crowd:
		s.crowd(step, host)
	}
}

// disturb lets a plain server lose some answers or be slow.
func (p *soakPlain) disturb(step soak.Step, r *rand.Rand) {
	fault := func(http.ResponseWriter, *http.Request) bool {
		p.mu.Lock()
		isHit := r.Float64() < step.Share
		p.mu.Unlock()
		if isHit && step.Kind == soak.LostAnswers {
			panic(http.ErrAbortHandler)
		}
		if isHit {
			time.Sleep(time.Second)
		}
		return false
	}
	p.update(func() { p.faults = slices.Repeat([]func(http.ResponseWriter, *http.Request) bool{fault}, 2000) })
}

// dropRoute takes a route of batch jobs away or gives it back. The caller holds s.mu.
func (s *soakPlayer) dropRoute(c *soakSettings, route int) {
	c.dropped[route] = !c.dropped[route]
	for _, job := range s.jobs {
		if job.route == route && c.dropped[route] && job.RouteGone == 0 {
			job.RouteGone = s.now()
		}
	}
}

// changeKeys takes the key of a guest or the second key of a workspace away, or gives new ones.
func (s *soakPlayer) changeKeys() {
	var removed string
	s.changeSettings(func(c *soakSettings) {
		if !s.plan.Workspaces {
			return
		}
		c.keys++
		key := &c.secondKey
		if c.keys%3 == 0 {
			key = &c.guestKey
		}
		removed = *key
		*key = ""
		if removed == "" || c.keys%2 == 0 {
			*key = fmt.Sprintf("soak-key-%d-of-many", c.keys)
			s.record.Keys[*key] = soak.Key{Given: s.now()}
		}
	})
	if removed != "" {
		s.note(func(r *soak.Record) { r.Keys[removed] = soak.Key{Given: r.Keys[removed].Given, Removed: s.now()} })
	}
}

// leave lets a server announce that it leaves; it comes back later, started anew.
func (s *soakPlayer) leave(step soak.Step) {
	n := step.Target % (len(s.plain) + len(s.engines))
	leaving := soak.Leaving{At: s.now()}
	var back func()
	if n < len(s.plain) {
		p := s.plain[n]
		leaving.Server = p.id
		s.putPlain(p, "draining")
		back = func() { p.born++; s.putPlain(p, "ready") }
	} else {
		e := s.engines[n-len(s.plain)]
		leaving.Server = e.id
		e.drain()
		back = func() {
			e.mu.Lock()
			e.isDraining = false
			e.mu.Unlock()
			e.restart()
		}
	}
	s.steps.Go(func() {
		time.Sleep(4*time.Second + step.For)
		leaving.Back = s.now()
		back()
		s.note(func(r *soak.Record) { r.Leavings = append(r.Leavings, leaving) })
	})
}

// crowd lets clients press a host: bodies or heads that stop short, idle connections, garbage.
func (s *soakPlayer) crowd(step soak.Step, host *soakHost) {
	p, _ := host.current()
	if p == nil {
		return
	}
	from := s.now()
	s.steps.Go(func() { time.Sleep(step.For + crowdPatience); s.trouble(host.name, from) })
	for client := range 60 + int(400*step.Share) {
		s.steps.Go(func() {
			conn, err := net.DialTimeout("tcp", p.address, crowdPatience)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(step.For))
			switch step.Target % 4 {
			case 0:
				_, _ = io.WriteString(conn, crowdHead(http.MethodPost, "/status/crowd", client, "X-Api-Key: "+northKey, "Content-Length: 1000000")+"\r\n")
				_, _ = conn.Write(crowdBody[:999999])
			case 1:
				_, _ = io.WriteString(conn, crowdHead(http.MethodGet, "/status/crowd", client, "X-Api-Key: "+northKey))
			case 2:
				_, _ = io.WriteString(conn, "\x16\x03\x01 no request \r\n\r\n")
			}
			_, _ = io.Copy(io.Discard, conn)
		})
	}
}
