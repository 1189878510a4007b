// Package standins holds the commands of damaskport-standin.
package standins

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/engine"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/standin/service"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// shutdownTimeout bounds the wait for requests in progress.
const shutdownTimeout = 3 * time.Second

// Execute runs the command line args and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("damaskport-standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "run the platform: log, capacity, usage, instances", &platformCommand{out: out}},
		{"engine", "run a model engine", &engineCommand{out: out}},
		{"service", "run a plain service", &serviceCommand{out: out}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(errOut, err)
			return exitError
		}
	}
	_, err := p.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(errOut, "damaskport-standin:", flagErr.Message)
		return exitUsage
	}
	fmt.Fprintln(errOut, "damaskport-standin:", err)
	return exitError
}

type listenFlags struct {
	Addr string `long:"addr" default:"127.0.0.1:0" description:"address to listen on; port 0 takes a free one"`
}

type platformCommand struct {
	out io.Writer
	listenFlags
	AppendsPerSecond int   `long:"appends-per-second" default:"300" description:"rate limit of appends to the log; 0 is none"`
	RetentionMs      int64 `long:"retention-ms" default:"0" description:"age at which the log drops records; 0 is never"`
	RetentionRecords int   `long:"retention-records" default:"0" description:"records kept in each stream; 0 is all"`
	ListLagMs        int64 `long:"list-lag-ms" default:"500" description:"age of the list of instances"`
	StartUpMs        int64 `long:"start-up-ms" default:"60000" description:"time that an ordered server takes to become live"`
	CheckFencing     bool  `long:"check-fencing" description:"refuse orders with an old term"`
	// Prices are of the form ZONE:POOL:PER_HOUR.
	Prices []string `long:"price" value-name:"ZONE:POOL:PERHOUR" description:"price of a server of a pool in a zone; may be repeated"`
}

// prices parses the prices.
func (c *platformCommand) prices() ([]platform.Price, error) {
	var out []platform.Price
	for _, text := range c.Prices {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return nil, errors.Errorf("--price %s: must be ZONE:POOL:PERHOUR", text)
		}
		perHour, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return nil, errors.Errorf("--price %s: %s is no number", text, parts[2])
		}
		out = append(out, platform.Price{Zone: parts[0], Pool: parts[1], PerHour: perHour})
	}
	return out, nil
}

// Execute runs the platform.
func (c *platformCommand) Execute([]string) error {
	prices, err := c.prices()
	if err != nil {
		return err
	}
	p := platform.New(platform.Config{
		AppendsPerSecond: c.AppendsPerSecond,
		RetentionMs:      clock.Millis(c.RetentionMs),
		RetentionRecords: c.RetentionRecords,
		ListLagMs:        clock.Millis(c.ListLagMs),
		StartUpMs:        clock.Millis(c.StartUpMs),
		CheckFencing:     c.CheckFencing,
		Prices:           prices,
	})
	return serve(c.Addr, p.Handler(), c.out)
}

type engineCommand struct {
	out io.Writer
	listenFlags
	Name               string   `long:"name" default:"engine" description:"name of the engine"`
	Models             []string `long:"model" description:"model to list; may be repeated"`
	Slots              int      `long:"slots" default:"8" description:"requests in the batch"`
	TokenMs            float64  `long:"token-ms" default:"20" description:"time per token of a request that runs alone; 0 is no delay"`
	PrefillMsPerKToken float64  `long:"prefill-ms-per-ktoken" default:"50" description:"time for 1000 prompt tokens that are not cached"`
	CachePrefixes      int      `long:"cache-prefixes" default:"64" description:"prompt prefixes kept"`
	LoadLagMs          int64    `long:"load-lag-ms" default:"500" description:"age of the load report"`
	CheckFencing       bool     `long:"check-fencing" description:"refuse requests with an old fencing number"`
	DefaultTokens      int      `long:"default-tokens" default:"64" description:"median length of an answer"`
	Seed               uint64   `long:"seed" default:"1" description:"seed of the lengths of answers"`
}

// Execute runs the model engine.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Config{
		Name:               c.Name,
		Models:             c.Models,
		Slots:              c.Slots,
		TokenMs:            c.TokenMs,
		PrefillMsPerKToken: c.PrefillMsPerKToken,
		CachePrefixes:      c.CachePrefixes,
		LoadLagMs:          clock.Millis(c.LoadLagMs),
		CheckFencing:       c.CheckFencing,
		DefaultTokens:      c.DefaultTokens,
		Seed:               c.Seed,
	})
	return serve(c.Addr, e.Handler(), c.out)
}

type serviceCommand struct {
	out io.Writer
	listenFlags
	Name         string `long:"name" default:"service" description:"name of the service"`
	WorkMs       int64  `long:"work-ms" default:"0" description:"time that an execution takes"`
	CheckFencing bool   `long:"check-fencing" description:"refuse requests with an old fencing number"`
}

// Execute runs the plain service.
func (c *serviceCommand) Execute([]string) error {
	s := service.New(service.Config{Name: c.Name, WorkMs: clock.Millis(c.WorkMs), CheckFencing: c.CheckFencing})
	return serve(c.Addr, s.Handler(), c.out)
}

// serve answers with h at addr until the process is told to stop.
func serve(addr string, h http.Handler, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	fmt.Fprintf(out, "url=http://%s\n", l.Addr())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(limited) != nil {
		return srv.Close()
	}
	return nil
}
