// Package commands holds the commands of damaskport, one file per command.
package commands

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/signals"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Version is the program's version.
const Version = "0.1.0"

// output carries the streams that commands write to.
type output struct {
	out io.Writer
	err io.Writer
}

// line prints one name=value line for programs to read.
func (o output) line(name, value string) {
	fmt.Fprintf(o.out, "%s=%s\n", name, value)
}

// namedValue is a value that a program reads from a line.
type namedValue struct{ name, value string }

// lines prints a line for each value, and waits for as long as nobody reads them.
func (o output) lines(values ...namedValue) {
	for _, v := range values {
		o.line(v.name, v.value)
	}
}

// server is a command that runs as a server and handles signals itself.
type server interface {
	flags.Commander
	runsAsServer()
}

func (*gatewayCommand) runsAsServer() {}
func (*entryCommand) runsAsServer()   {}
func (*sidecarCommand) runsAsServer() {}
func (*soloCommand) runsAsServer()    {}

// command adds one command to the parser.
type command func(p *flags.Parser, o output) error

// registered lists the commands in the order of the help text.
var registered = []command{
	addEntry,
	addSidecar,
	addGateway,
	addSolo,
	addConfig,
	addSheet,
	addKey,
	addStatus,
	addLoad,
	addReport,
	addExplain,
	addQuarantine,
}

// Execute runs the command line args and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	o := output{out: out, err: errOut}
	var global struct {
		Version func() `long:"version" description:"print the version and exit"`
	}
	versionShown := errors.New("version shown")
	global.Version = func() { panic(versionShown) }
	p := flags.NewNamedParser("damaskport", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Global", "", &global); err != nil {
		fmt.Fprintln(errOut, err)
		return exitError
	}
	for _, add := range registered {
		if err := add(p, o); err != nil {
			fmt.Fprintln(errOut, err)
			return exitError
		}
	}
	return run(p, args, o, versionShown)
}

func run(p *flags.Parser, args []string, o output, versionShown error) (code int) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case versionShown:
			fmt.Fprintln(o.out, "damaskport", Version)
			code = exitOK
		default:
			panic(v)
		}
	}()
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if _, ok := c.(server); !ok {
			signals.EndOnHangup()
		}
		return c.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(o.out, flagErr.Message)
			return exitOK
		}
		fmt.Fprintln(o.err, "damaskport:", flagErr.Message)
		return exitUsage
	}
	fmt.Fprintln(o.err, "damaskport:", err)
	var coded codeError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitError
}
