package standin2

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// zones are the zones of the deployment, each in a region of its own.
var zones = []string{"ashanti-a", "northern-a", "volta-a"}

// entryHost is an entry host with its daemon.
type entryHost struct {
	name, zone, ip, settings string
	process                  *exec.Cmd
}

const (
	callerPort = 8149
	readyPort  = 8141
	memoryMb   = 284
)

func (h *entryHost) callers() string { return fmt.Sprintf("%s:%d", h.ip, callerPort) }

func (h *entryHost) ready() string { return fmt.Sprintf("http://%s:%d/api/readiness", h.ip, readyPort) }

// writeSettings writes the settings file of the platform's page for a host.
func (h *entryHost) writeSettings(folder, storeAddress string, bootstrap bool) error {
	text := fmt.Sprintf(`nodeName=%[1]s
role=entry
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=%[4]s
listenAddrs.front=%[2]s:%[5]d
listenAddrs.ready=%[2]s:%[6]d
internalPortRange=7380,7395
bootstrap=%[7]t
faultCounted=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=%[8]d
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
platformConfig.address=%[9]s
platformConfig.form=kv
platformConfig.writesPerS=400
platformConfig.readsPerS=2000
platformConfig.retentionS=20
platformConfig.valueBytes=1048576
platformConfig.ttlMinMs=1000
`, h.name, h.ip, h.zone, regionOf(h.zone), callerPort, readyPort, bootstrap, memoryMb, storeAddress)
	for _, zone := range zones {
		text += fmt.Sprintf("zones.%s=%s\n", zone, regionOf(zone))
	}
	h.settings = filepath.Join(folder, h.name+".conf")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func regionOf(zone string) string { return zone[:len(zone)-2] }

// start starts the daemon with the command of the deploy file, in the repository's root.
func (h *entryHost) start(folder string) error {
	output, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.process = exec.Command("target/flamingobeamd", "entry", "--metrics-port=9464")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "FLAMINGOBEAM_NODE_FILE=" + h.settings}
	h.process.Stdout, h.process.Stderr = output, output
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.process.Start()
}

func (h *entryHost) signal(signal os.Signal) { _ = h.process.Process.Signal(signal) }

// kill ends the daemon and waits for its end.
func (h *entryHost) kill() {
	if h.process != nil && h.process.Process != nil {
		_ = h.process.Process.Kill()
		_, _ = h.process.Process.Wait()
	}
}

// awaitReady waits until the daemon answers the platform's question with 200.
func (h *entryHost) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(h.ready())
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready in %v", h.name, within)
}
