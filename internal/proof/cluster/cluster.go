// Package cluster runs small clusters of real processes for fault tests:
// stand-ins, sidecars and entries on loopback, joined by relays that can cut
// or silence their connections.
package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/standin/engine"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/standin/service"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Names of the configuration that every cluster starts with.
const (
	Account      = "harbour"
	OtherAccount = "meadow"
	Model        = "assistant-1"
	Key          = "dk_k1_harboursecret0123456789"
	OtherKey     = "dk_k2_meadowsecret0123456789"
	ServicePath  = "/booking"

	modelPool   = "assistant"
	servicePool = "booking"
)

const (
	// anyAddr has a process take a free port, which it prints.
	anyAddr     = "127.0.0.1:0"
	waitTimeout = 20 * time.Second
	pollPeriod  = 5 * time.Millisecond
)

// Options sets the size of a cluster.
type Options struct {
	Entries  int
	Services int
	Engines  int
	// Slots is the number of slots of each backend server, 8 by default.
	Slots int
	// PlatformArgs, EngineArgs and ServiceArgs are passed to the stand-ins.
	PlatformArgs []string
	EngineArgs   []string
	ServiceArgs  []string
	// RelayData puts relays between entries and the sidecars' data addresses.
	RelayData bool
	// Edit changes the settings of each process, if set.
	Edit func(f *settings.File)
	// Plain runs entries and sidecars as built for production.
	Plain bool
	// Instances returns the list of instances that an entry sees; nil is all.
	Instances func(entry string, all []platform.Instance) []platform.Instance
}

// Cluster is a running cluster.
type Cluster struct {
	t        testing.TB
	opts     Options
	dir      string
	Platform *Standin
	Entries  []*Entry
	// Sidecars holds those of the services and then those of the engines.
	Sidecars []*Sidecar
	lists    map[string]*platform.Platform
	nonces   atomic.Int64
}

// Standin is a stand-in process.
type Standin struct {
	*Proc
	URL string
}

// Entry is an entry process.
type Entry struct {
	*Proc
	Name, CallerURL, AdminURL string
	// PlatformRelay carries the entry's connections to the platform.
	PlatformRelay *Relay
}

// Sidecar is a sidecar process with its backend server.
type Sidecar struct {
	*Proc
	Name   string
	Pool   string
	Server *Standin
	// ServerRelay carries the sidecar's connections to the server,
	// ControlRelay the entries' control connections and PlatformRelay the
	// sidecar's connections to the platform.
	ServerRelay, ControlRelay, PlatformRelay *Relay
	// DataRelay carries the entries' data connections; nil without RelayData.
	DataRelay *Relay
	instance  platform.Instance
}

// Start runs a cluster and waits until every entry serves requests.
func Start(t testing.TB, opts Options) *Cluster {
	t.Helper()
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	c := &Cluster{t: t, opts: opts, dir: t.TempDir(), lists: map[string]*platform.Platform{}}
	args := append([]string{"platform", "--list-lag-ms", "0"}, opts.PlatformArgs...)
	c.Platform = c.standin("platform", args)
	c.Configure(c.firstChange())
	for i := range opts.Services {
		c.AddSidecar(fmt.Sprintf("s%d", i+1), servicePool)
	}
	for i := range opts.Engines {
		c.AddSidecar(fmt.Sprintf("m%d", i+1), modelPool)
	}
	for i := range opts.Entries {
		c.AddEntry(fmt.Sprintf("e%d", i+1))
	}
	for _, e := range c.Entries {
		c.waitServing(e)
		for _, s := range c.Sidecars {
			if c.shown(e, s) {
				c.WaitConnected(e, s)
			}
		}
	}
	return c
}

// shown reports whether e sees s in the list of instances.
func (c *Cluster) shown(e *Entry, s *Sidecar) bool {
	if c.opts.Instances == nil {
		return true
	}
	list := c.opts.Instances(e.Name, c.instances())
	return slices.ContainsFunc(list, func(in platform.Instance) bool { return in.Name == s.Name })
}

// WaitConnected waits until e has a control connection to s.
func (c *Cluster) WaitConnected(e *Entry, s *Sidecar) {
	c.t.Helper()
	up := regexp.MustCompile(`event=peerUp .*peer=` + s.Name + ` `)
	c.Until(e.Name+" is connected to "+s.Name, func() bool { return up.MatchString(e.Log()) })
}

func (c *Cluster) firstChange() []directory.Op {
	pools := []string{modelPool, servicePool}
	key := func(text, account string) directory.Op {
		id, secret, _ := directory.SplitKey(text)
		return directory.Op{IssueKey: &directory.Key{ID: id, Account: account, Digest: directory.DigestSecret(secret)}}
	}
	classes := []string{"interactive", "batch"}
	return []directory.Op{
		{SetPool: &directory.Pool{Name: modelPool, Kind: directory.PoolModel, Model: Model, Slots: c.opts.Slots}},
		{SetPool: &directory.Pool{Name: servicePool, Kind: directory.PoolService, Slots: c.opts.Slots}},
		{SetClass: &directory.Class{Name: "interactive", Tier: 0, Pools: pools, Resume: true}},
		{SetClass: &directory.Class{Name: "batch", Tier: 2, Pools: pools, Resume: true, FloorPercent: 5}},
		{SetAccount: &directory.Account{Name: Account, Share: 1, Classes: classes}},
		{SetAccount: &directory.Account{Name: OtherAccount, Share: 1, Classes: classes}},
		{SetRoute: &directory.Route{PathPrefix: ServicePath, Pool: servicePool, ProtectedMethods: []string{http.MethodPost}}},
		key(Key, Account),
		key(OtherKey, OtherAccount),
	}
}

// Configure appends a change to the log's configuration stream.
func (c *Cluster) Configure(ops []directory.Op) {
	c.t.Helper()
	version := c.State().Streams["config"].FirstOffset + int64(len(c.State().Streams["config"].Records)) - 1
	change := directory.Change{ID: fmt.Sprintf("change-%d", c.nonces.Add(1)), Author: "test", BasedOn: max(version, 0), Ops: ops}
	c.send(http.MethodPost, c.Platform.URL+"/v1/streams/config/records", change)
}

func (c *Cluster) standin(name string, args []string) *Standin {
	c.t.Helper()
	p := startProc(c.t, name, binaries.standin, args...)
	return &Standin{Proc: p, URL: p.value("url")}
}

// AddSidecar starts a sidecar with its backend server and lists it.
func (c *Cluster) AddSidecar(name, pool string) *Sidecar {
	c.t.Helper()
	if pool == servicePool {
		return c.beside(c.standin(name+"-server", append([]string{"service", "--name", name}, c.opts.ServiceArgs...)), name, pool)
	}
	args := []string{"engine", "--name", name, "--model", Model, "--slots", fmt.Sprint(c.opts.Slots)}
	return c.beside(c.standin(name+"-server", append(args, c.opts.EngineArgs...)), name, pool)
}

// Replace starts another sidecar beside the server of s and lists it in the
// place of s, whose process is left as it is.
func (c *Cluster) Replace(s *Sidecar, name string) *Sidecar {
	c.t.Helper()
	c.send(http.MethodDelete, c.Platform.URL+"/admin/instances/"+s.Name, nil)
	return c.beside(s.Server, name, s.Pool)
}

// beside starts a sidecar of a server and lists it.
func (c *Cluster) beside(server *Standin, name, pool string) *Sidecar {
	c.t.Helper()
	s := &Sidecar{Name: name, Pool: pool, Server: server}
	s.ServerRelay = NewRelay(c.t, hostPort(s.Server.URL))
	s.PlatformRelay = NewRelay(c.t, hostPort(c.Platform.URL))
	file := defaults(settings.RoleSidecar, name, s.PlatformRelay)
	file.Sidecar.ControlAddr, file.Sidecar.DataAddr, file.Sidecar.AdminAddr = anyAddr, anyAddr, anyAddr
	file.Sidecar.Pool, file.Sidecar.ServerURL, file.Sidecar.Slots = pool, s.ServerRelay.URL(), c.opts.Slots
	s.Proc = c.damaskport(file)
	s.ControlRelay = NewRelay(c.t, s.value("controlAddr"))
	if c.opts.RelayData {
		s.relayData(c.t)
	}
	s.instance = platform.Instance{Name: name, Role: "backend", Pool: pool, Zone: "a", Address: s.ControlRelay.Addr()}
	c.Sidecars = append(c.Sidecars, s)
	c.List(s, platform.StateLive)
	return s
}

// relayData has entries be told the address of a relay for the data address.
func (s *Sidecar) relayData(t testing.TB) {
	s.DataRelay = NewRelay(t, "")
	told := regexp.MustCompile(`"dataUrl":"http://[0-9.:]+"`)
	s.ControlRelay.rewriteWith(func(p []byte) []byte {
		return told.ReplaceAllFunc(p, func(m []byte) []byte {
			addr := hostPort(strings.Trim(strings.TrimPrefix(string(m), `"dataUrl":`), `"`))
			s.DataRelay.Retarget(addr)
			return []byte(`"dataUrl":"` + s.DataRelay.URL() + `"`)
		})
	})
}

// AddEntry starts an entry and lists it.
func (c *Cluster) AddEntry(name string) *Entry {
	c.t.Helper()
	e := &Entry{Name: name, PlatformRelay: NewRelay(c.t, hostPort(c.Platform.URL))}
	file := defaults(settings.RoleEntry, name, e.PlatformRelay)
	file.Entry.CallerAddr, file.Entry.AdminAddr, file.Entry.Duties = anyAddr, anyAddr, true
	if c.opts.Instances != nil {
		file.Platform.InstancesURL = c.listFor(name)
	}
	e.Proc = c.damaskport(file)
	e.CallerURL, e.AdminURL = e.value("url"), e.value("adminUrl")
	c.send(http.MethodPut, c.Platform.URL+"/admin/instances/"+name, platform.Instance{Role: "entry", Zone: "a", Address: hostPort(e.AdminURL)})
	c.Entries = append(c.Entries, e)
	return e
}

func defaults(role settings.Role, name string, relay *Relay) settings.File {
	f := settings.Defaults(role)
	f.Name, f.Zone = name, "a"
	p := &f.Platform
	p.LogURL, p.CapacityURL, p.UsageURL, p.InstancesURL = relay.URL(), relay.URL(), relay.URL(), relay.URL()
	return f
}

// damaskport writes the settings file and starts the process.
func (c *Cluster) damaskport(f settings.File) *Proc {
	c.t.Helper()
	if c.opts.Edit != nil {
		c.opts.Edit(&f)
	}
	data, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, f.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	program := binaries.damaskport
	if c.opts.Plain {
		program = plainBinary(c.t)
	}
	return startProc(c.t, f.Name, program, string(f.Role), "--settings", path)
}

// List shows s in the list of instances in the given state.
func (c *Cluster) List(s *Sidecar, state string) {
	c.t.Helper()
	s.instance.State = state
	c.send(http.MethodPut, c.Platform.URL+"/admin/instances/"+s.Name, s.instance)
	c.Relist()
}

// Relist brings the lists of single entries up to date.
func (c *Cluster) Relist() {
	for name, list := range c.lists {
		c.fill(name, list)
	}
}

func (c *Cluster) listFor(entry string) string {
	list := platform.New(platform.Config{})
	c.lists[entry] = list
	c.fill(entry, list)
	srv := &http.Server{Handler: list.Handler(), ReadHeaderTimeout: time.Minute}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	c.t.Cleanup(func() { _ = srv.Close() })
	return "http://" + ln.Addr().String()
}

func (c *Cluster) instances() []platform.Instance {
	var all []platform.Instance
	for _, s := range c.Sidecars {
		all = append(all, s.instance)
	}
	return all
}

func (c *Cluster) fill(entry string, list *platform.Platform) {
	all := c.instances()
	shown := map[string]bool{}
	for _, in := range c.opts.Instances(entry, c.instances()) {
		list.PutInstance(in)
		shown[in.Name] = true
	}
	for _, in := range all {
		if !shown[in.Name] {
			list.DeleteInstance(in.Name)
		}
	}
}

// State returns what the platform recorded.
func (c *Cluster) State() platform.State {
	c.t.Helper()
	var st platform.State
	c.Get(c.Platform.URL+"/admin/state", &st)
	return st
}

// Executions returns what all services executed.
func (c *Cluster) Executions() []service.Execution {
	c.t.Helper()
	var all []service.Execution
	seen := map[*Standin]bool{} // two sidecars may be beside one service
	for _, s := range c.Sidecars {
		if s.Pool != servicePool || seen[s.Server] {
			continue
		}
		seen[s.Server] = true
		var report service.Report
		c.Get(s.Server.URL+"/admin/executions", &report)
		all = append(all, report.Executions...)
	}
	return all
}

// EngineState returns the state of a model engine.
func (c *Cluster) EngineState(s *Sidecar) engine.State {
	c.t.Helper()
	var st engine.State
	c.Get(s.Server.URL+"/admin/state", &st)
	return st
}

// SetReadLag makes reads of the log show records only at age ms.
func (c *Cluster) SetReadLag(ms int) {
	c.t.Helper()
	c.send(http.MethodPut, c.Platform.URL+"/admin/readLag", map[string]int{"ms": ms})
}

// SetFault puts f in force at the stand-in.
func (c *Cluster) SetFault(s *Standin, f fault.Fault) {
	c.t.Helper()
	c.send(http.MethodPost, s.URL+"/admin/faults", f)
}

// ClearFaults ends the faults of the stand-in.
func (c *Cluster) ClearFaults(s *Standin) {
	c.t.Helper()
	c.send(http.MethodDelete, s.URL+"/admin/faults", nil)
}

// Faults returns the faults in force at the stand-in.
func (c *Cluster) Faults(s *Standin) []fault.Fault {
	c.t.Helper()
	var list []fault.Fault
	c.Get(s.URL+"/admin/faults", &list)
	return list
}

// Get decodes the answer of url into v.
func (c *Cluster) Get(url string, v any) {
	c.t.Helper()
	res, err := adminClient.Get(url)
	if err != nil {
		c.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		c.t.Fatalf("GET %s: %v", url, err)
	}
}

var adminClient = &http.Client{Timeout: waitTimeout}

func (c *Cluster) send(method, url string, v any) {
	c.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	res, err := adminClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		text, _ := io.ReadAll(res.Body)
		c.t.Fatalf("%s %s: %d %s", method, url, res.StatusCode, text)
	}
}

// Until polls cond until it holds, and fails the test after a time limit.
func (c *Cluster) Until(what string, cond func() bool) {
	c.t.Helper()
	c.Within(waitTimeout, what, cond)
}

// Within polls cond until it holds, and fails the test after limit.
func (c *Cluster) Within(limit time.Duration, what string, cond func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollPeriod)
	}
}

// waitServing waits until e answers a request through each pool.
func (c *Cluster) waitServing(e *Entry) {
	c.t.Helper()
	c.Until(e.Name+" serves", func() bool {
		if e.Exited() {
			c.t.Fatalf("%s ended at its start:\n%s", e.Name, e.Log())
		}
		if c.opts.Services > 0 && c.Call(e, Request{Method: http.MethodGet, Path: ServicePath + "/ready"}).Status != http.StatusOK {
			return false
		}
		return c.opts.Engines == 0 || c.Call(e, ChatRequest("ready", 1, false)).Status == http.StatusOK
	})
}

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }
