package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/schollz/progressbar/v3"

	"cherryramp/internal/transport"
	"cherryramp/lab/load"
	"cherryramp/lab/scenario"
)

type loadCommand struct {
	Address     string             `arg:"" help:"The server's address, such as 127.0.0.1:8080."`
	Rate        string             `default:"200/s" help:"Requests per second, in the syntax of a scenario's load: '100/s, from 10s 100/s rising, from 40s 900/s'."`
	For         time.Duration      `default:"30s" help:"Duration of the load."`
	Even        bool               `help:"Send at constant intervals; by default as a Poisson process."`
	Connections int                `default:"256" help:"Maximum number of connections; a request that finds none free waits, which counts towards its latency."`
	Threads     int                `default:"1" help:"Number of sending threads."`
	Precise     bool               `help:"Send times are accurate to some ten microseconds instead of a millisecond, at the cost of a core per thread."`
	Patience    time.Duration      `default:"3s" help:"Timeout of a request, from its scheduled time."`
	Idle        time.Duration      `default:"4s" help:"Time after which an unused connection is closed."`
	Seed        uint64             `default:"1"`
	Mix         map[string]float64 `default:"guide-video=54;page-asset=43" help:"Shares of the platform's object classes."`
	Writes      []string           `default:"payout-confirm" help:"The classes whose requests are writes."`
	Parts       map[string]int     `default:"guide-video=14" help:"Number of parts of the objects, by class."`
	Objects     int                `default:"2000" help:"Number of objects of each class."`
	Zipf        float64            `default:"1.1" help:"Exponent of the Zipf distribution of their popularity, above 1."`
	Targets     string             `type:"existingfile" help:"File of targets to GET instead of the platform's requests, one per line: signed links, or targets of any server."`
	Host        string             `default:"load" help:"The Host field of requests for --targets."`
	JSON        string             `help:"File to which the results are written as JSON."`
	Times       string             `help:"File to which the percentiles of the latencies are written, in the format of HdrHistogram."`
	Quiet       bool               `help:"Show no progress bar."`
}

// Run sends the load and prints its results.
func (c *loadCommand) Run() error {
	if host, port, err := net.SplitHostPort(c.Address); err != nil || host == "" || port == "" {
		return fmt.Errorf("address: %q is not of the form host:port", c.Address)
	}
	curve, err := scenario.ParseLoad(c.Rate)
	if err != nil {
		return err
	}
	options := load.Options{Address: c.Address, Curve: curve, EvenlySpaced: c.Even, Duration: c.For, Timeout: c.Patience, IdleTimeout: c.Idle, Connections: c.Connections,
		Threads: c.Threads, Precise: c.Precise, Seed: c.Seed}
	if c.Targets != "" {
		list, err := readTargets(c.Targets)
		if err != nil {
			return err
		}
		t := &load.Targets{Host: c.Host, List: list}
		options.Kinds, options.NewGenerator = t.Kinds(), t.NewGenerator
	} else {
		mix := &load.Mix{Objects: c.Objects, Zipf: c.Zipf, Body: 200}
		for _, name := range slices.Sorted(maps.Keys(c.Mix)) {
			mix.Classes = append(mix.Classes, load.Class{Name: name, Share: c.Mix[name], Write: slices.Contains(c.Writes, name), Parts: max(1, c.Parts[name])})
		}
		if err := mix.Check(); err != nil {
			return err
		}
		options.Kinds, options.NewGenerator = mix.Kinds(), mix.NewGenerator
	}
	if err := transport.Setup(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		return err
	}
	var progress load.Progress
	done := make(chan struct{})
	if !c.Quiet {
		go showProgress(&progress, c.For, done)
	}
	result, err := load.Run(options, &progress)
	close(done)
	if err != nil {
		return err
	}
	printLoad(result)
	if c.Times != "" {
		all := hdrhistogram.New(1, 60_000_000, 3)
		for _, k := range result.Kinds {
			all.Merge(k.Latency)
		}
		f, err := os.Create(c.Times)
		if err != nil {
			return err
		}
		_, err = all.PercentilesPrint(f, 5, 1000)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
	}
	if err := writeJSON(c.JSON, loadJSON(result)); err != nil {
		return err
	}
	if result.Due > 0 && progress.Answered.Load() == 0 {
		return fmt.Errorf("%s: no request was answered", c.Address)
	}
	return nil
}

// readTargets reads a file with one target per line; empty lines are skipped.
func readTargets(path string) (list []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 64<<10)
	for n := 1; lines.Scan(); n++ {
		switch text := strings.TrimSpace(lines.Text()); {
		case text == "":
		case !strings.HasPrefix(text, "/") || strings.ContainsAny(text, " \t"):
			return nil, fmt.Errorf("%s:%d: %q is not a target of the form /path?query", path, n, text)
		default:
			list = append(list, text)
		}
	}
	if len(list) == 0 && lines.Err() == nil {
		return nil, fmt.Errorf("%s: no targets", path)
	}
	return list, lines.Err()
}

// showProgress shows the elapsed share of the run's time and the counts so far, until
// done is closed.
func showProgress(progress *load.Progress, span time.Duration, done <-chan struct{}) {
	bar := progressbar.NewOptions(int(span.Milliseconds()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetPredictTime(false),
		progressbar.OptionClearOnFinish())
	start, tick := time.Now(), time.NewTicker(250*time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			_ = bar.Finish()
			return
		case <-tick.C:
			bar.Describe(fmt.Sprintf("%d due, %d answered, %d lost", progress.Due.Load(), progress.Answered.Load(), progress.Failed.Load()))
			_ = bar.Set(int(min(time.Since(start), span).Milliseconds()))
		}
	}
}

func printLoad(result *load.Result) {
	fmt.Printf("%d requests in %.1f s on %d connections, %.1f MB of answers\n", result.Due, result.Elapsed.Seconds(), result.Connections, float64(result.Bytes)/1e6)
	for _, k := range result.Kinds {
		fmt.Printf("  %-16s %s", k.Name, formatPercentiles(k.Latency))
		for _, end := range slices.Sorted(maps.Keys(k.Outcomes)) {
			fmt.Printf("  %s: %d", end, k.Outcomes[end])
		}
		fmt.Println()
	}
	fmt.Printf("  this tool was late by  %s\n  a connection was free  %s\n", formatPercentiles(result.Lag), formatPercentiles(result.Queued))
}

// reportedPercentiles are the percentiles in printed and JSON results.
var reportedPercentiles = []float64{50, 90, 99, 99.9, 100}

func formatPercentiles(h *hdrhistogram.Histogram) string {
	text := ""
	for _, q := range reportedPercentiles {
		name := fmt.Sprintf("p%g", q)
		if q == 100 {
			name = "max"
		}
		text += fmt.Sprintf("%s %.2f  ", name, float64(h.ValueAtQuantile(q))/1000)
	}
	return text + "ms"
}

// loadJSON returns a result for JSON output, with times in microseconds by percentile.
func loadJSON(result *load.Result) any {
	times := func(h *hdrhistogram.Histogram) map[string]int64 {
		out := map[string]int64{"count": h.TotalCount()}
		for _, q := range reportedPercentiles {
			out[fmt.Sprintf("p%g", q)] = h.ValueAtQuantile(q)
		}
		return out
	}
	type kind struct {
		Name  string
		Ends  map[string]int
		Times map[string]int64
	}
	var kinds []kind
	for _, k := range result.Kinds {
		kinds = append(kinds, kind{k.Name, k.Outcomes, times(k.Latency)})
	}
	return map[string]any{"due": result.Due, "took_s": result.Elapsed.Seconds(), "connections": result.Connections, "bytes": result.Bytes, "kinds": kinds,
		"lag": times(result.Lag), "queued": times(result.Queued), "seconds": result.Seconds}
}
