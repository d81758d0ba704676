package commands

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

// commandLine holds the parser and the parsed arguments. On invalid arguments
// flaggy's parser would exit the program and print the whole help to standard
// error, so its own checks are disabled and parse does them.
type commandLine struct {
	parser      *flaggy.Parser
	commands    []*flaggy.Subcommand
	roles       map[string]*flaggy.Subcommand
	check       *flaggy.Subcommand
	status      *flaggy.Subcommand
	message     *flaggy.Subcommand
	helpCommand *flaggy.Subcommand

	help            bool
	verbose         bool
	path            string
	isConfiguration bool
	json            bool
	metrics         bool
	id              string
	from            string
	helpTopic       string   // command whose help is requested
	addresses       []string // of the processes to query
}

func newCommandLine() *commandLine {
	l := &commandLine{parser: flaggy.NewParser("yardservice"), roles: map[string]*flaggy.Subcommand{}}
	p := l.parser
	p.Description = "yardwharf's ingest and dispatch service"
	p.ShowHelpWithHFlag, p.ShowHelpOnUnexpected = false, false
	p.ShowVersionWithVersionFlag, p.ShowCompletion = false, false
	p.Bool(&l.help, "h", "help", "show this help")
	for _, r := range roles {
		command := l.add(r.name, r.description)
		command.AdditionalHelpAppend = roleHelp
		command.Bool(&l.verbose, "v", "verbose", "log debug messages as well")
		l.roles[r.name] = command
	}
	l.check = l.add("check", "check a settings file or, with --configuration, a configuration: a line for each fault")
	l.check.AddPositionalValue(&l.path, "FILE", 1, false, "the file")
	l.check.Bool(&l.isConfiguration, "c", "configuration", "the file is an operator's configuration")
	l.status = l.add("status", "ask running processes for their state: yardservice status ADDRESS...")
	l.status.AdditionalHelpAppend = "ADDRESS is the internal address (IP:PORT) of a process; see docs/SERVICE.md for the ports."
	l.status.Bool(&l.json, "j", "json", "print JSON")
	l.status.Bool(&l.metrics, "m", "metrics", "print the figures as lines of text")
	l.message = l.add("message", "show what is known about a message: yardservice message ID --from ADDRESS")
	l.message.AddPositionalValue(&l.id, "ID", 1, false, "the message's id")
	l.message.String(&l.from, "f", "from", "internal address (IP:PORT) of a dispatcher or a store")
	l.message.Bool(&l.json, "j", "json", "print JSON")
	l.helpCommand = l.add("help", "show the help of a command")
	l.helpCommand.AddPositionalValue(&l.helpTopic, "COMMAND", 1, false, "the command")
	return l
}

const roleHelp = "The environment variable YARDWHARF_SETTINGS names the settings file.\n" +
	"  SIGHUP makes the process read it again, SIGTERM makes it end."

// add registers a command with the parser.
func (l *commandLine) add(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	l.parser.AttachSubcommand(command, 1)
	l.commands = append(l.commands, command)
	return command
}

// parse parses the arguments. Its errors are single lines.
func (l *commandLine) parse(arguments []string) error {
	if len(arguments) == 0 {
		return errors.New("a command is missing")
	}
	if err := l.checkFlags(arguments); err != nil {
		return err
	}
	if err := l.parser.ParseArgs(arguments); err != nil {
		return errors.New(strings.ReplaceAll(err.Error(), "\n", " "))
	}
	return l.validate()
}

// checkFlags rejects unknown commands, unknown flags and --from without a value.
func (l *commandLine) checkFlags(arguments []string) error {
	command := &l.parser.Subcommand
	for i, argument := range arguments {
		name, value, hasValue := strings.Cut(strings.TrimLeft(argument, "-"), "=")
		switch {
		case argument == "--":
			return nil
		case !strings.HasPrefix(argument, "-"):
			if command == &l.parser.Subcommand {
				if command = l.findCommand(argument); command == nil {
					return fmt.Errorf("there is no command %q", argument)
				}
			}
		case !command.FlagExists(name) && !l.parser.FlagExists(name):
			return fmt.Errorf("there is no flag %q", argument)
		case name == "from" || name == "f":
			if hasValue && value == "" || !hasValue && (i+1 == len(arguments) || strings.HasPrefix(arguments[i+1], "-")) {
				return fmt.Errorf("%s requires an address", argument)
			}
		}
	}
	return nil
}

func (l *commandLine) findCommand(name string) *flaggy.Subcommand {
	for _, command := range l.commands {
		if command.Name == name {
			return command
		}
	}
	return nil
}

// validate checks that a command has its required arguments and no extra ones.
func (l *commandLine) validate() error {
	rest := l.parser.TrailingArguments
	if l.helpCommand.Used {
		l.help = true
		if l.helpTopic != "" && l.findCommand(l.helpTopic) == nil {
			return fmt.Errorf("there is no command %q", l.helpTopic)
		}
	}
	switch {
	case l.help:
		return nil
	case l.status.Used:
		l.addresses, rest = rest, nil
		if len(l.addresses) == 0 {
			return errors.New("status requires an address")
		}
		if l.json && l.metrics {
			return errors.New("--json and --metrics exclude each other")
		}
	case l.check.Used && l.path == "":
		return errors.New("check requires a file")
	case l.message.Used && l.id == "":
		return errors.New("message requires an id")
	case l.message.Used && l.from == "":
		return errors.New("message requires --from with an address")
	case !l.check.Used && !l.message.Used && l.role().run == nil:
		return errors.New("a command is missing")
	}
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	return nil
}

// role returns the selected role, or a zero role if there is none.
func (l *commandLine) role() role {
	for _, r := range roles {
		if l.roles[r.name].Used {
			return r
		}
	}
	return role{}
}

// format returns the selected output format of reports.
func (l *commandLine) format() statusFormat {
	switch {
	case l.json:
		return formatJSON
	case l.metrics:
		return formatMetrics
	default:
		return formatText
	}
}

// showHelp prints the help of the program or of the named command.
func (l *commandLine) showHelp(out io.Writer) error {
	parser := l.parser
	if l.helpTopic != "" {
		fresh := newCommandLine()
		if err := fresh.parser.ParseArgs([]string{l.helpTopic}); err != nil {
			return err
		}
		parser = fresh.parser
	} else if l.helpCommand.Used {
		fresh := newCommandLine()
		if err := fresh.parser.ParseArgs(nil); err != nil {
			return err
		}
		parser = fresh.parser
	}
	var help flaggy.Help
	help.ExtractValues(parser, "")
	return parser.HelpTemplate.Execute(out, help)
}
