package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const keyManual = `Creates a team key: a random secret of 128 bits and the salted hash that the
bundle holds. The secret is shown only once and cannot be recovered from the
bundle: give it to the team and keep no copy. With --into the hash is added to
the team's keys in a bundle file; otherwise it is printed. A key id is never
reused, not even after the key was revoked.

Examples:

  limctl key reprints-2
  limctl key reprints-2 --into bundle.json --team reprints
  limctl key reprints-2 --secret-file reprints-2.secret`

type keyCmd struct {
	ID         string `arg:"" help:"Id of the new key."`
	Into       string `help:"Bundle file to add the key to." placeholder:"FILE"`
	Team       string `help:"Team of the key, with --into."`
	SecretFile string `help:"New file for the secret, instead of showing it." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*keyCmd) Help() string { return keyManual }

// Run creates the key.
func (cmd *keyCmd) Run(a *app) error {
	k, err := policy.NewKey(cmd.ID, a.random)
	if err != nil {
		return err
	}
	// The secret is written before its hash is added to the bundle, so that no
	// bundle contains a key whose secret was lost.
	if cmd.SecretFile != "" {
		if err := createFile(cmd.SecretFile, []byte(k.Secret()+"\n"), 0o600); err != nil {
			return err
		}
	}
	if cmd.Into != "" {
		if err := cmd.add(k); err != nil {
			return err
		}
	}
	result := struct {
		Key        policy.KeyDoc `json:"key"`
		Secret     string        `json:"secret,omitempty"`
		SecretFile string        `json:"secret_file,omitempty"`
	}{Key: k.Doc(), SecretFile: cmd.SecretFile}
	if cmd.SecretFile == "" {
		result.Secret = k.Secret()
	}
	return a.printResult(result, func(w io.Writer) { cmd.print(w, result.Secret, k.Doc()) })
}

func (cmd *keyCmd) print(w io.Writer, secret string, doc policy.KeyDoc) {
	if secret == "" {
		secret = "in " + cmd.SecretFile
	}
	fmt.Fprintf(w, "secret, shown once: %s\n", secret)
	if cmd.Into != "" {
		fmt.Fprintf(w, "added to team %s in %s\n", cmd.Team, cmd.Into)
		return
	}
	raw, _ := json.Marshal(doc) // A struct of strings and a bool always encodes.
	fmt.Fprintf(w, "for the team's keys in the bundle: %s\n", raw)
}

func (cmd *keyCmd) add(k policy.Key) error {
	raw, err := os.ReadFile(cmd.Into)
	if err != nil {
		return rcode.Wrap(err, rcode.SettingInvalid, "keyCmd.add")
	}
	doc, err := policy.Decode(raw)
	if err != nil {
		return err
	}
	if err := doc.AddKey(cmd.Team, k.Doc()); err != nil {
		return err
	}
	out, err := doc.Encode()
	if err != nil {
		return err
	}
	return writeFileAtomic(cmd.Into, out)
}

// writeFileAtomic writes a temporary file and renames it over the old one, so that
// a crash leaves either the old or the new content.
func writeFileAtomic(file string, data []byte) error {
	tmp := file + ".new"
	if err := os.WriteFile(tmp, data, 0o644); err != nil {
		return rcode.Wrap(err, rcode.SettingInvalid, "main.writeFileAtomic")
	}
	return rcode.Wrap(os.Rename(tmp, file), rcode.SettingInvalid, "main.writeFileAtomic")
}
