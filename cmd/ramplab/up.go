package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"golang.org/x/term"

	"cherryramp/lab/conformance"
	"cherryramp/lab/scenario"
	"cherryramp/lab/world"
)

type upCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"A scenario to play; by default a site without faults or end."`
	frontPath
	Rate  float64       `default:"60" help:"Requests per second of the site's own clients, if no scenario is played."`
	For   time.Duration `help:"How long the site runs; by default until interrupted."`
	Plain bool          `help:"Show no live view; it is also off without a terminal."`
}

// unlimitedRun is the duration of a run without an end: a year.
const unlimitedRun = world.Micros(365 * 24 * 3600 * 1_000_000)

// Run runs a site: simulated servers, clients and notice boards on loopback, and built
// fronts between them.
func (c upCommand) Run() error {
	front, err := c.path()
	if err != nil {
		return err
	}
	keys, err := conformance.New(time.Now())
	if err != nil {
		return err
	}
	spec, plan := world.Default(), world.Plan{Duration: unlimitedRun}
	spec.Rate = c.Rate
	if c.Scenario != "" {
		text, err := os.ReadFile(c.Scenario)
		if err != nil {
			return err
		}
		s, err := scenario.Parse(c.Scenario, string(text))
		if err != nil {
			return err
		}
		spec, plan = s.Spec, s.Plan
	} else if !(c.Rate >= 0 && c.Rate <= 10_000) {
		return fmt.Errorf("--rate: %v must be 0 to 10000", c.Rate)
	}
	live := !c.Plain && term.IsTerminal(int(os.Stdout.Fd())) && term.IsTerminal(int(os.Stdin.Fd()))
	options := world.SocketOptions{Front: front, Operator: keys.OperatorFile}
	if !live {
		options.Log = os.Stderr
	}
	w, err := world.NewOnSockets(spec, options)
	if err != nil {
		return err
	}
	var ui *tea.Program
	if live {
		branches, hubs, _, fronts := w.FaultTargets()
		model := &viewModel{world: w, requests: func(v world.View) []string { return exampleRequests(v, keys) }, keys: faultKeys(branches, hubs, fronts)}
		ui = tea.NewProgram(model)
		w.Watch(250_000, func(v world.View) { ui.Send(v) })
	} else {
		printed := false
		w.Watch(100_000, func(v world.View) {
			if lines := exampleRequests(v, keys); !printed && lines != nil {
				printed = true
				fmt.Println(strings.Join(lines, "\n"))
			}
		})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var deadline <-chan time.Time
	if c.For > 0 {
		deadline = time.After(c.For)
	}
	go func() {
		select {
		case <-signals:
		case <-deadline:
		}
		w.Stop()
	}()
	type outcome struct {
		r   *world.Result
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		r, err := w.Run(plan)
		done <- outcome{r, err}
		if ui != nil {
			ui.Quit()
		}
	}()
	if ui != nil {
		_, err = ui.Run()
		w.Stop()
	}
	finished := <-done
	if err := errors.Join(err, finished.err); err != nil {
		return err
	}
	fmt.Print(finished.r)
	for _, v := range finished.r.Violations {
		fmt.Printf("  %s\n", v)
	}
	if len(finished.r.Violations) > 0 {
		return errNotMet
	}
	return nil
}

// exampleRequests returns commands to try out, or nil while the first front does not
// serve.
func exampleRequests(view world.View, keys *conformance.Fixture) []string {
	front := view.Fronts[0]
	if !front.Serves {
		return nil
	}
	return []string{
		fmt.Sprintf("platform  curl -i -H 'Req-Id: 9b1f03aa5c7e2d41' -H 'Req-Wait-Ms: 1500' -H 'X-Bucket: 17' 'http://%s/call/guide-video/9f3a?seg=3'", front.Address),
		fmt.Sprintf("signed    curl -i 'http://%s%s'", front.Signed, keys.ValidLink("edgeauth", "query", time.Hour)),
		fmt.Sprintf("refused   curl -i 'http://%s%s'", front.Signed, conformance.Target),
	}
}

// faultKey binds a key to a fault.
type faultKey struct {
	key   string
	fault world.Fault
}

func faultKeys(branches, hubs, fronts []string) []faultKey {
	const second = 1_000_000
	list := []world.Fault{
		{Kind: world.LoseBranch, Target: branches[0], Duration: 12 * second},
		{Kind: world.LoseBranch, Target: branches[len(branches)-1], Duration: 12 * second, Silent: true},
		{Kind: world.LoseParents, Target: hubs[0], Duration: 15 * second},
		{Kind: world.OriginSlow, Amount: 3, Duration: 10 * second},
		{Kind: world.OriginStops, Duration: 5 * second},
		{Kind: world.PurgeGroups, Amount: 0.4},
		{Kind: world.RetryStorm, Duration: 10 * second},
		{Kind: world.Surge, Amount: 3, Duration: 10 * second},
		{Kind: world.ResetConnections},
		{Kind: world.KillFront, Target: fronts[len(fronts)-1], Duration: 3 * second},
	}
	var keys []faultKey
	for i, fault := range list {
		keys = append(keys, faultKey{fmt.Sprint((i + 1) % 10), fault})
	}
	return keys
}

// viewModel is the model of the live view.
type viewModel struct {
	world    *world.World
	requests func(world.View) []string
	keys     []faultKey
	now      world.View
	last     world.View // about a second older than now
	rates    [4]float64 // tries, attempts, refused and failed per second
	worth    []float64  // earned share of the worth requested, one value per second
	status   string
}

// injectFailed is the message that a fault could not be injected.
type injectFailed struct{ err error }

// Init implements tea.Model.
func (model *viewModel) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (model *viewModel) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case world.View:
		model.now = msg
		if span := float64(msg.At-model.last.At) / 1e6; span >= 1 {
			l := &model.last
			model.rates = [4]float64{float64(msg.Tries-l.Tries) / span, float64(msg.Attempts-l.Attempts) / span, float64(msg.Refused-l.Refused) / span,
				float64(msg.Failed-l.Failed) / span}
			if msg.Asked > 0 {
				model.worth = append(model.worth, msg.Earned/msg.Asked)
				model.worth = model.worth[max(0, len(model.worth)-sparklineLength):]
			}
			model.last = msg
		}
	case injectFailed:
		model.status = msg.err.Error()
	case tea.KeyPressMsg:
		switch key := msg.String(); key {
		case "q", "ctrl+c", "esc":
			return model, tea.Quit
		default:
			for _, k := range model.keys {
				if k.key == key {
					return model, model.inject(k.fault)
				}
			}
		}
	}
	return model, nil
}

func (model *viewModel) inject(fault world.Fault) tea.Cmd {
	model.status = fault.Label()
	return func() tea.Msg {
		result := make(chan error, 1)
		model.world.Inject(fault, func(err error) { result <- err })
		select {
		case err := <-result:
			if err != nil {
				return injectFailed{err}
			}
		case <-time.After(time.Second): // the run has ended
		}
		return nil
	}
}

// sparklineLength is the number of values in the sparkline of the worth.
const sparklineLength = 60

var (
	headStyle      = lipgloss.NewStyle().Bold(true)
	faintStyle     = lipgloss.NewStyle().Faint(true)
	goodStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warnStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	violationStyle = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
)

// View implements tea.Model.
func (model *viewModel) View() tea.View {
	v := tea.NewView(model.render())
	v.AltScreen = true
	return v
}

func (model *viewModel) render() string {
	view := &model.now
	if len(view.Fronts) == 0 {
		return "the fronts are starting ..."
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %5.1f s   %5.0f tries/s  %5.0f attempts/s  %s  %s\n", headStyle.Render("cherryramp"), float64(view.At)/1e6, model.rates[0], model.rates[1],
		rateText(model.rates[2], 1, "refused/s"), rateText(model.rates[3], 1, "failed/s"))
	share := 1.0
	if view.Asked > 0 {
		share = view.Earned / view.Asked
	}
	fmt.Fprintf(&b, "worth of the last 10 s  %s %s\n\n", worthStyle(share).Render(fmt.Sprintf("%5.1f%%", 100*share)), sparkline(model.worth))
	for _, l := range model.requests(*view) {
		fmt.Fprintln(&b, faintStyle.Render(l))
	}
	fmt.Fprintf(&b, "\n%s\n", headStyle.Render(fmt.Sprintf("%-22s %-9s %-9s %6s  %-22s", "server", "state", "capacity", "open", "link")))
	for _, server := range view.Servers {
		state := goodStyle
		if server.State != "serving" {
			state = warnStyle
		}
		fmt.Fprintf(&b, "%-22s %s %8.0f%% %6d  %s\n", server.Name, state.Render(fmt.Sprintf("%-9s", server.State)), 100*server.Share, server.Work, loadBar(server.Load))
	}
	fmt.Fprintf(&b, "\n%s\n", headStyle.Render(fmt.Sprintf("%-22s %-24s %6s %8s %6s", "front", "address", "held", "MB", "fds")))
	for _, front := range view.Fronts {
		if !front.Serves {
			fmt.Fprintf(&b, "%-22s %s\n", front.Name, warnStyle.Render("not serving"))
			continue
		}
		fmt.Fprintf(&b, "%-22s %-24s %6d %8.1f %6d\n", front.Name, front.Address, front.Held, float64(front.KB)/1024, front.Descriptors)
	}
	fmt.Fprintln(&b)
	for _, fault := range view.Faults {
		fmt.Fprintln(&b, warnStyle.Render(fmt.Sprintf("%s, for %.0f s more", fault.Label(), float64(fault.At+fault.Duration-view.At)/1e6)))
	}
	if view.Broken > 0 {
		fmt.Fprintln(&b, violationStyle.Render(fmt.Sprintf("properties violated %d times", view.Broken)))
		for _, x := range view.Violations {
			fmt.Fprintln(&b, x)
		}
	} else {
		fmt.Fprintln(&b, goodStyle.Render("no property was violated"))
	}
	var help []string
	for _, k := range model.keys {
		help = append(help, k.key+" "+k.fault.Label())
	}
	fmt.Fprintf(&b, "%s\n%s", model.status, faintStyle.Render("q quits; faults: "+strings.Join(help, ", ")))
	return b.String()
}

func rateText(x, threshold float64, unit string) string {
	text := fmt.Sprintf("%4.0f %s", x, unit)
	if x > threshold {
		return warnStyle.Render(text)
	}
	return text
}

func worthStyle(share float64) lipgloss.Style {
	switch {
	case share > 0.95:
		return goodStyle
	case share > 0.8:
		return warnStyle
	}
	return violationStyle
}

// loadBar draws a load from 0 to 1; a load above 1 is highlighted and printed as a number.
func loadBar(load float64) string {
	const width = 20
	n := min(width, int(load*width+0.5))
	text := strings.Repeat("█", n) + strings.Repeat("·", width-n)
	if load > 1 {
		return warnStyle.Render(text + fmt.Sprintf(" %.1fx", load))
	}
	return text
}

// sparkline draws shares between 0.5 and 1.
func sparkline(values []float64) string {
	levels := []rune("▁▂▃▄▅▆▇█")
	var b strings.Builder
	for _, x := range values {
		b.WriteRune(levels[min(len(levels)-1, max(0, int((x-0.5)*2*float64(len(levels)))))])
	}
	return b.String()
}
