// Package standin2 plays the cases of a review: it starts stand-ins of the platform's
// store, of servers and of clients, and daemons of the deploy file as processes of their own.
package standin2

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder       string
	network      string
	storeAddress string
	store        *platformStore
	hosts        []*entryHost
	record       *journal
	servers      int
}

// newDeployment starts the store of a deployment with a number of entry hosts in each zone.
func newDeployment(perZone int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{folder: folder, network: fmt.Sprintf("127.%d.%d", 1+pid/250%250, 1+pid%250), record: newJournal()}
	d.storeAddress = d.network + ".1:8142"
	if d.store, err = startStore(d.storeAddress); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		for n := range perZone {
			h := &entryHost{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s.%d", d.network, 10+10*i+n)}
			d.hosts = append(d.hosts, h)
		}
	}
	return d, nil
}

func (d *deployment) startDaemons() error {
	for _, h := range d.hosts {
		if err := h.writeSettings(d.folder, d.storeAddress, true); err != nil {
			return err
		}
		if err := h.start(d.folder); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// serverAddress returns the address of another server.
func (d *deployment) serverAddress() string {
	d.servers++
	return fmt.Sprintf("%s.%d:7100", d.network, 100+d.servers)
}

// register lists a server in the store.
func (d *deployment) register(service, id, zone, address string, slots int) {
	d.store.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// cases are the cases by their names.
var cases = map[string]func(d *deployment, trouble bool) (bool, string, error){
	"late-copy": lateCopy,
	"takeover":  takeover("yield-scorer,7"),
	// The same with an ID like those of the examples, for comparison.
	"takeover-hex": takeover("7c41e09b52d6a3f8"),
}

// TestMain plays the case that the arguments name. The package has no tests of its own.
func TestMain(*testing.M) { os.Exit(run()) }

// run plays a case. It returns 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return 2
	}
	d, err := newDeployment(3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, verdict, err := cases[os.Args[1]](d, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(verdict)
	if err := d.record.write(filepath.Join(os.Args[2], "record.txt"), verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}
