package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryramp/lab/flood"
	"cherryramp/lab/idle"
	"cherryramp/lab/process"
	"cherryramp/lab/site"
)

// connectionsPerWorker is the number of connections that one worker process holds. A
// process may have 20,000 descriptors.
const connectionsPerWorker = 17_500

type workerCommand struct{}

// Run carries out the commands that another ramplab sends on standard input.
func (workerCommand) Run() error { return idle.Serve(os.Stdin, os.Stdout) }

// frontGroup is a group of fronts, each with simulated servers of its own.
type frontGroup struct {
	Fronts    int           `default:"1" help:"Number of fronts."`
	Core      int           `default:"-1" help:"The core that all fronts share; by default each front uses any one core."`
	MemoryMB  int           `default:"192" help:"Memory limit of each front in MB."`
	Rate      int           `default:"200" help:"Requests per second to all fronts together."`
	For       time.Duration `default:"10s" help:"Length of each measurement."`
	JSON      string        `help:"File to which the results are written as JSON."`
	Admission string        `default:"" enum:",aimd,gradient" help:"The fronts' setting clients.admission: aimd, gradient or empty."`
	sites     []*site.Site
}

// start starts the fronts, each with enough descriptors for the given number of
// connections.
func (f *frontGroup) start(front string, connections int, clients string) error {
	if err := errors.Join(requirePositive("memory-mb", f.MemoryMB), requirePositive("rate", f.Rate), requirePositive("for", int(f.For))); err != nil {
		return err
	}
	for range f.Fronts {
		o := site.Options{Front: front, Sockets: min(20_000, connections+2000), MemoryMB: f.MemoryMB, Env: []string{"GOMAXPROCS=1"},
			Operator: func(string) []byte {
				return []byte(fmt.Sprintf(`{"clients":{%s,"admission":%q}}`, clients, f.Admission))
			}}
		if f.Core >= 0 {
			o.Core = &f.Core
		}
		s, err := site.Start(o)
		if err != nil {
			return err
		}
		f.sites = append(f.sites, s)
	}
	return nil
}

func (f *frontGroup) stop() (err error) {
	for _, s := range f.sites {
		err = errors.Join(err, s.Stop())
	}
	return err
}

// residentKB returns the resident memory of all fronts together.
func (f *frontGroup) residentKB() (kb int) {
	for _, s := range f.sites {
		kb += process.ResidentKB(s.Pid())
	}
	return kb
}

// cpuTime returns the CPU time of all fronts together.
func (f *frontGroup) cpuTime() (sum time.Duration, err error) {
	for _, s := range f.sites {
		t, err := processCPUTime(s.Pid())
		if err != nil {
			return 0, err
		}
		sum += t
	}
	return sum, nil
}

// latencyFigures are the results of one measurement: percentiles in milliseconds, answers
// by status, lost requests and CPU use.
type latencyFigures struct {
	P50, P99, P999, Max float64
	Count               map[int]int
	Lost                int
	CPU                 float64 // in cores
}

// measure sends requests for the duration For, with the rate split evenly over the fronts.
func (f *frontGroup) measure(run int) (*latencyFigures, error) {
	all := hdrhistogram.New(1, 60_000_000, 3)
	figures := &latencyFigures{Count: map[int]int{}}
	before, err := f.cpuTime()
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, s := range f.sites {
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, e := flood.Run(flood.Options{Address: s.Listen, GoodRate: f.Rate / f.Fronts, Duration: f.For, Connections: 32, Timeout: 5 * time.Second,
				Good: func(n int) string { return idle.RequestText("guide-video", "9f3a", run, n*f.Fronts+i, 2*time.Second) }})
			mu.Lock()
			defer mu.Unlock()
			if err = errors.Join(err, e); e != nil {
				return
			}
			all.Merge(result.Good.Times)
			figures.Lost += result.Good.Failed
			for status, n := range result.Good.Count {
				figures.Count[status] += n
			}
		}()
	}
	wg.Wait()
	if err != nil {
		return nil, err
	}
	after, err := f.cpuTime()
	ms := func(q float64) float64 { return float64(all.ValueAtQuantile(q)) / 1000 }
	figures.P50, figures.P99, figures.P999, figures.Max, figures.CPU = ms(50), ms(99), ms(99.9), ms(100), (after-before).Seconds()/f.For.Seconds()
	return figures, err
}

// print prints the figures as one row.
func (figures *latencyFigures) print(name string) {
	fmt.Printf("%-24s p50 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms; %v, lost %d; CPU %.1f%% of a core\n", name, figures.P50, figures.P99, figures.P999, figures.Max,
		figures.Count, figures.Lost, 100*figures.CPU)
}

type idleCommand struct {
	frontPath
	frontGroup
	Connections int           `default:"17000" help:"Number of idle connections over all fronts; one front may hold 17,000."`
	Within      time.Duration `default:"100ms" help:"Time within which all idle connections send a request; 0: they send none."`
	Patience    time.Duration `default:"2s" help:"How long a client waits for an answer."`
	Settle      time.Duration `default:"3s" help:"Pause between the last connection and the measurement."`
}

// idleFigures is written to the file that --json names.
type idleFigures struct {
	Connections, Fronts    int
	None, Beside           *latencyFigures
	EmptyKB, HeldKB        int
	EachBytes, KernelBytes float64 // per connection; KernelBytes covers both ends
	IdleCPU                float64 // in cores
	Woken                  *idle.Stats
	WokenKB                int
}

// Run measures the fronts without idle connections and with them, then sends a request on
// every idle connection.
func (c *idleCommand) Run() (err error) {
	if err := errors.Join(requirePositive("fronts", c.Fronts), requirePositive("connections", c.Connections)); err != nil {
		return err
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	if err := c.start(front, c.Connections/c.Fronts+100, fmt.Sprintf(`"idle_ms":3600000,"held":%d`, 2*c.Connections/c.Fronts+100)); err != nil {
		return errors.Join(err, c.stop())
	}
	defer func() { err = errors.Join(err, c.stop()) }()
	out := idleFigures{Connections: c.Connections, Fronts: c.Fronts}
	if out.None, err = c.measure(3); err != nil {
		return err
	}
	out.None.print("requests, none idle")
	out.EmptyKB = c.residentKB()
	kernel := kernelSocketKB()
	workers, err := c.open()
	defer func() {
		for _, worker := range workers {
			err = errors.Join(err, worker.Stop())
		}
	}()
	if err != nil {
		return err
	}
	time.Sleep(c.Settle)
	before, err := c.cpuTime()
	if err != nil {
		return err
	}
	time.Sleep(c.For)
	after, err := c.cpuTime()
	if err != nil {
		return err
	}
	out.HeldKB = c.residentKB()
	perConnection := 1024 / float64(c.Connections)
	out.EachBytes, out.KernelBytes = float64(out.HeldKB-out.EmptyKB)*perConnection, float64(kernelSocketKB()-kernel)*perConnection
	out.IdleCPU = (after - before).Seconds() / c.For.Seconds()
	fmt.Printf("%-24s resident %d KB, %d without: %.0f bytes each; the kernel's for both ends %.0f; CPU %.2f%% of a core\n",
		fmt.Sprintf("%d idle, %d fronts", c.Connections, c.Fronts), out.HeldKB, out.EmptyKB, out.EachBytes, out.KernelBytes, 100*out.IdleCPU)
	if out.Beside, err = c.measure(4); err != nil {
		return err
	}
	out.Beside.print("requests beside them")
	if c.Within > 0 {
		if out.Woken, err = c.wake(workers); err != nil {
			return err
		}
		out.WokenKB = c.residentKB()
		fmt.Printf("%-24s resident %d KB\n", "", out.WokenKB)
	}
	return writeJSON(c.JSON, out)
}

// open starts workers that hold the connections, spread over the fronts.
func (c *idleCommand) open() (workers []*idle.Worker, err error) {
	for first := 0; first < c.Connections; {
		target := c.sites[len(workers)%len(c.sites)]
		n := min(connectionsPerWorker, c.Connections-first)
		if c.Fronts > 1 {
			n = min((c.Connections+c.Fronts-1)/c.Fronts, n)
		}
		worker, err := idle.NewWorker("idle-worker")
		if err != nil {
			return workers, err
		}
		workers = append(workers, worker)
		if _, err := worker.Do(idle.Command{Action: "open", Address: target.Listen, Class: "page-asset", Object: "9f3a", First: first, Count: n,
			Patience: 10 * time.Second}); err != nil {
			return workers, err
		}
		first += n
	}
	return workers, nil
}

// wake sends a request on every idle connection within the time c.Within.
func (c *idleCommand) wake(workers []*idle.Worker) (*idle.Stats, error) {
	start := time.Now().Add(2 * time.Second)
	sum := &idle.Stats{}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var err error
	for i, worker := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out, e := worker.Do(idle.Command{Action: "wake", Class: "page-asset", Object: "9f3a", First: i << 20, Start: start, Within: c.Within, Patience: c.Patience})
			mu.Lock()
			defer mu.Unlock()
			if err = errors.Join(err, e); e == nil {
				sum.Add(out.Woken)
			}
		}()
	}
	wg.Wait()
	if err != nil {
		return nil, err
	}
	fmt.Printf("%-24s %s\n", fmt.Sprintf("all wake within %v", c.Within), sum.Summary(start))
	return sum, nil
}

type slowCommand struct {
	frontPath
	frontGroup
	Clients  int    `default:"5000" help:"Number of slow clients, all from a few address prefixes."`
	Pace     int    `default:"1000" help:"Bytes per second that each client reads or sends."`
	Senders  bool   `help:"The clients send requests slowly; by default they read answers slowly."`
	Spread   bool   `help:"Each client comes from an address prefix of its own."`
	Settings string `default:"\"idle_ms\":600000,\"least_bytes_s\":4000" help:"The clients section of the fronts' operator file, without its braces."`
}

// slowFigures is written to the file that --json names.
type slowFigures struct {
	Clients, Pace   int
	Senders         bool
	None, Beside    *latencyFigures
	Slow            *idle.SlowStats
	EmptyKB, MostKB int
}

// Run measures requests without slow clients and with them.
func (c *slowCommand) Run() (err error) {
	if err := errors.Join(requirePositive("fronts", c.Fronts), requirePositive("clients", c.Clients), requirePositive("pace", c.Pace)); err != nil {
		return err
	}
	front, err := c.path()
	if err != nil {
		return err
	}
	if err := c.start(front, c.Clients/c.Fronts+2000, c.Settings); err != nil {
		return errors.Join(err, c.stop())
	}
	defer func() { err = errors.Join(err, c.stop()) }()
	out := slowFigures{Clients: c.Clients, Pace: c.Pace, Senders: c.Senders}
	if out.None, err = c.measure(3); err != nil {
		return err
	}
	out.None.print("requests alone")
	out.EmptyKB = c.residentKB()
	command := idle.Command{Action: "drip", Class: "guide-video", Object: site.LargeObject, Address: c.sites[0].Listen, Count: c.Clients, Patience: 4 * time.Second,
		Pace: c.Pace, Read: !c.Senders, For: c.For}
	if c.Spread {
		command.Stride = 256
	}
	worker, err := idle.NewWorker("idle-worker")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, worker.Stop()) }()
	done := make(chan error, 1)
	go func() {
		reply, err := worker.Do(command)
		out.Slow = reply.Slow
		done <- err
	}()
	peakKB, sampled := 0, make(chan struct{})
	go func() {
		defer close(sampled)
		for range int(c.For / (100 * time.Millisecond)) {
			peakKB = max(peakKB, c.residentKB())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	if out.Beside, err = c.measure(4); err != nil {
		return err
	}
	out.Beside.print("requests beside them")
	<-sampled
	if err := <-done; err != nil {
		return err
	}
	out.MostKB = peakKB
	fmt.Printf("%d slow clients at %d bytes/s: %d whole, %d ended by the front after %v to %v, %d left; resident %d KB at most, %d before\n",
		c.Clients, c.Pace, out.Slow.Completed, out.Slow.Ended, out.Slow.Fastest.Round(time.Millisecond), out.Slow.Slowest.Round(time.Millisecond),
		out.Slow.Unfinished, out.MostKB, out.EmptyKB)
	return writeJSON(c.JSON, out)
}

// requirePositive returns an error if the value of a flag is below 1.
func requirePositive(flag string, n int) error {
	if n < 1 {
		return fmt.Errorf("--%s: %d must be above 0", flag, n)
	}
	return nil
}

func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// kernelSocketKB returns the kernel memory of TCP buffers (proc(5), sockstat: in pages) and
// of sockets, the latter only where the slab caches are readable; 0: unknown.
func kernelSocketKB() (kb int) {
	text, err := os.ReadFile("/proc/net/sockstat")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "TCP:"); ok {
			fields := strings.Fields(rest)
			for i := 0; i+1 < len(fields); i += 2 {
				var n int
				if _, err := fmt.Sscan(fields[i+1], &n); err == nil && fields[i] == "mem" {
					kb = n * os.Getpagesize() / 1024
				}
			}
		}
	}
	return kb + slabKB()
}

// slabKB returns the size of the slab caches of TCP sockets (slabinfo(5)); 0: unknown.
func slabKB() (kb int) {
	text, err := os.ReadFile("/proc/slabinfo")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var name string
		var active, all, size int
		if n, _ := fmt.Sscan(line, &name, &active, &all, &size); n == 4 && (name == "TCP" || name == "sock_inode_cache" || name == "filp") {
			kb += active * size / 1024
		}
	}
	return kb
}
