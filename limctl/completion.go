package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"limpethitch.example/core/rcode"
)

const completionManual = `Prints a script that completes subcommands, flags and file names in bash.

Example:

  limctl completion bash > /etc/bash_completion.d/limctl`

type completionCmd struct {
	Shell string `arg:"" enum:"bash" help:"Shell: bash."`
}

// Help implements kong.HelpProvider.
func (*completionCmd) Help() string { return completionManual }

// Run prints the completion script.
func (*completionCmd) Run(a *app) error {
	_, err := io.WriteString(a.stdout, bashScript(a.parser.Model))
	return rcode.Wrap(err, rcode.Internal, "completionCmd.Run")
}

func bashScript(model *kong.Application) string {
	var names []string
	var cases strings.Builder
	for _, c := range model.Children {
		names = append(names, c.Name)
		fmt.Fprintf(&cases, "\t%s) words=%q ;;\n", c.Name, strings.Join(flagNames(c, model.Node), " "))
	}
	return fmt.Sprintf(bashTemplate, cases.String(), strings.Join(append(names, flagNames(model.Node)...), " "))
}

func flagNames(nodes ...*kong.Node) []string {
	var out []string
	for _, n := range nodes {
		for _, f := range n.Flags {
			out = append(out, "--"+f.Name)
		}
	}
	return out
}

const bashTemplate = `_limctl() {
	local word command="" words
	for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
		case "$word" in -*) ;; *) command="$word"; break ;; esac
	done
	case "$command" in
%s	*) words=%q ;;
	esac
	COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _limctl limctl
`
