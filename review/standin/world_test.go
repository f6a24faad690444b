// Package standin plays the outside of a small deployment for the cases of the review:
// the platform's store, backend servers, clients and a trainer. It starts the daemons as
// processes of their own and judges a rule by what its own parts have seen.
package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Hosts and prefixes of the routes. The batch jobs have a host of their own.
const (
	portalHost   = "ficu95.example"
	trainHost    = "pule25.example"
	onceType     = "non_idempotent"
	streamPrefix = "/lohu930/"
	oncePrefix   = "/tase11/"
	judgePrefix  = "/pufi791/"
	trainPrefix  = "/pule252/"
)

// daemon is an entry daemon.
type daemon struct {
	name, ip, zone, settings string
	mu                       sync.Mutex
	command                  *exec.Cmd
	done                     chan struct{}
}

func (d *daemon) front() string { return d.ip + ":8149" }
func (d *daemon) ready() string { return d.ip + ":8141" }

// world is the deployment of a case.
type world struct {
	root, folder string
	trouble      bool
	startedAt    time.Time
	base         string
	store        *store
	servers      []*server
	daemons      []*daemon

	// startMu is held while a process starts, and isStopped is set when all are ended.
	startMu   sync.Mutex
	isStopped bool

	recordMu sync.Mutex
	record   *os.File
}

var theWorld *world

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if theWorld != nil {
		theWorld.note("cannot run: "+format, args...)
		theWorld.stopAll()
	}
	os.Exit(exitNoRun)
}

// newWorld starts the store.
func newWorld(root, folder string, trouble bool) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	w := &world{root: root, folder: folder, trouble: trouble, startedAt: time.Now(), record: record}
	theWorld = w
	w.base = freeNetwork()
	w.store = newStore(w.base + ".1:8142")
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		cannotRun("interrupted")
	}()
	// A case takes two minutes at most.
	time.AfterFunc(110*time.Second, func() { cannotRun("not finished in time") })
	w.note("trouble=%t network=%s.0/24", w.trouble, w.base)
	return w
}

// freeNetwork returns the first three numbers of loopback addresses that nothing uses.
func freeNetwork() string {
	for i := range 200 {
		base := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+i)%128, (os.Getpid()/128+i*7)%250)
		listener, err := net.Listen("tcp", base+".1:8142")
		if err != nil {
			continue
		}
		_ = listener.Close()
		return base
	}
	cannotRun("no free loopback addresses")
	return ""
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

var zones = []string{"ashanti-a", "northern-a", "volta-a"}

// addServers starts servers of a service, one zone after the other.
func (w *world) addServers(service string, count, slots int, configure func(*server)) {
	for range count {
		n := len(w.servers)
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), address: fmt.Sprintf("%s.%d:8080", w.base, 100+n), zone: zones[n%len(zones)],
			service: service, slots: slots, work: 25 * time.Millisecond, world: w,
		}
		configure(s)
		w.servers = append(w.servers, s)
		s.start()
	}
}

func (w *world) serversOf(service string) []*server {
	var found []*server
	for _, s := range w.servers {
		if s.service == service {
			found = append(found, s)
		}
	}
	return found
}

type route map[string]any

// The routes of a configuration.
var (
	onceRoute = route{"name": "r-once", "hostname": portalHost, "pathPrefix": oncePrefix, "routeType": onceType,
		"timeoutMs": 1500, "targetLatencyMs": 250, "priority": 2, "service": portal, "maxAttempts": 2}
	judgeRoute = route{"name": "r-judge", "hostname": portalHost, "pathPrefix": judgePrefix, "routeType": "idempotent",
		"timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 2, "service": portal, "maxAttempts": 4}
	streamRoute = route{"name": "r-stream", "hostname": portalHost, "pathPrefix": streamPrefix, "routeType": "streaming",
		"timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "service": portal, "maxAttempts": 3}
	trainRoute = route{"name": "r-train", "hostname": trainHost, "pathPrefix": trainPrefix, "routeType": "rollout",
		"timeoutMs": 10000, "targetLatencyMs": 400, "resultDeadlineMs": 30000, "itemTtlS": 60, "priority": 1, "service": models, "maxAttempts": 3}
)

// with returns a copy of a route with one field changed.
func (r route) with(name string, value any) route {
	changed := route{name: value}
	for field, old := range r {
		if field != name {
			changed[field] = old
		}
	}
	return changed
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...route) {
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": models, "healthPath": "/healthz", "maxConnections": 140, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "kvCapacityTokens": 114094, "stride": 71, "models": []map[string]any{{"name": modelName}}}},
			{"name": portal, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var names []string
	for _, r := range routes {
		names = append(names, r["name"].(string))
	}
	w.note("operator: configuration %d with routes %s", version, strings.Join(names, ","))
}

const settingsForm = `nodeName=%[1]s
role=entry
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=%[4]s
zones.ashanti-a=ashanti
zones.northern-a=northern
zones.volta-a=volta
listenAddrs.front=%[2]s:8149
listenAddrs.ready=%[2]s:8141
internalPortRange=7380,7395
seedNodes=
bootstrap=%[5]t
faultCounted=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryMode=vip
heartbeatMs=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=4000
bounds.ackMs=5000
bounds.syncTimeS=5
bounds.drainMs=3000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=6000
bounds.recoveryS=12
bounds.passMs=400
bounds.retryAfterS=0
bounds.finishS=10
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOverage=0.1
bounds.fencingRequired=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
platformConfig.address=%[6]s
platformConfig.form=kv
platformConfig.writesPerS=400
platformConfig.readsPerS=2000
platformConfig.retentionS=20
platformConfig.valueBytes=1048576
platformConfig.ttlMinMs=1000
`

// addDaemons starts entry daemons, one zone after the other, and waits until they are
// ready and know each other.
func (w *world) addDaemons(count int) {
	settings, err := os.MkdirTemp("", "review-settings-")
	if err != nil {
		cannotRun("%v", err)
	}
	for n := range count {
		d := &daemon{
			name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], 1+n/len(zones)), ip: fmt.Sprintf("%s.%d", w.base, 10+n), zone: zones[n%len(zones)],
		}
		d.settings = filepath.Join(settings, d.name+".conf")
		w.daemons = append(w.daemons, d)
		w.startDaemon(d, true)
	}
	for _, d := range w.daemons {
		w.await("ready "+d.name, 20*time.Second, d.isReady)
	}
	w.await("members", 20*time.Second, func() bool { return len(w.store.keys("flamingobeam/session/member/")) == count })
	// Machines are in touch after contactMs.
	time.Sleep(contact)
}

// contact is the bound contactMs.
const contact = 4 * time.Second

// startDaemon starts the process of a daemon with the command of the deploy file.
func (w *world) startDaemon(d *daemon, bootstrap bool) {
	region, _, _ := strings.Cut(d.zone, "-")
	text := fmt.Sprintf(settingsForm, d.name, d.ip, d.zone, region, bootstrap, w.store.address)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
	command := exec.Command("target/flamingobeamd", "entry", "--metrics-port=9464")
	command.Dir = w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOBEAM_NODE_FILE=" + d.settings}
	if folder := os.Getenv("DAEMON_LOGS"); folder != "" {
		if log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			command.Stdout, command.Stderr = log, log
		}
	}
	w.startMu.Lock()
	if w.isStopped {
		w.startMu.Unlock()
		select {}
	}
	if err := command.Start(); err != nil {
		w.startMu.Unlock()
		cannotRun("%v", err)
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(done)
	}()
	d.mu.Lock()
	d.command, d.done = command, done
	d.mu.Unlock()
	w.startMu.Unlock()
	w.note("daemon %s starts, bootstrap=%t", d.name, bootstrap)
}

func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready() + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a daemon.
func (w *world) signal(d *daemon, what syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.note("daemon %s gets signal %v", d.name, what)
	_ = d.command.Process.Signal(what)
}

func (w *world) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("%s: not within %v", what, limit)
		}
	}
}

// stopAll ends all processes that were started.
func (w *world) stopAll() {
	w.startMu.Lock()
	w.isStopped = true
	w.startMu.Unlock()
	for _, d := range w.daemons {
		d.mu.Lock()
		if d.command != nil {
			_ = d.command.Process.Kill()
			<-d.done
		}
		d.mu.Unlock()
	}
	if len(w.daemons) > 0 {
		_ = os.RemoveAll(filepath.Dir(w.daemons[0].settings))
	}
}

// finish ends the case with its result.
func (w *world) finish(broken bool, format string, args ...any) {
	verdict := "held"
	if broken {
		verdict = "broken"
	}
	text := fmt.Sprintf("%s: %s", verdict, fmt.Sprintf(format, args...))
	w.note("%s", text)
	fmt.Println(text)
	w.stopAll()
	_ = w.record.Close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
