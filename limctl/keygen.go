package main

import (
	"crypto/ed25519"
	"io"
	"strings"

	"limpethitch.example/core/rcode"
)

const keygenManual = `Creates an approver's ed25519 key pair. The private key goes into a new
file that only its owner can read; it is never printed and an existing file is
never overwritten. The public key is printed, and written to a file that ends in
.pub, in the form that LIMCTL_APPROVERS and the settings of the entry VMs take.

Example:

  limctl keygen ana --out ana.key`

type keygenCmd struct {
	Name string `arg:"" help:"Name of the approver."`
	Out  string `help:"File for the private key; NAME.key by default." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*keygenCmd) Help() string { return keygenManual }

// Run creates the key pair and its two files.
func (cmd *keygenCmd) Run(a *app) error {
	if !isValidName(cmd.Name) {
		return rcode.New(rcode.SettingInvalid, "name %q must be made of a-z, 0-9 and -", cmd.Name)
	}
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(a.random, seed); err != nil {
		return rcode.Wrap(err, rcode.Internal, "keygenCmd.Run")
	}
	k := approverKey{name: cmd.Name, private: ed25519.NewKeyFromSeed(seed)}
	file := cmd.Out
	if file == "" {
		file = cmd.Name + ".key"
	}
	if err := createFile(file, []byte(k.encode()), 0o600); err != nil {
		return err
	}
	if err := createFile(publicFile(file), []byte(k.encodePublic()+"\n"), 0o644); err != nil {
		return err
	}
	result := struct {
		Approver string `json:"approver"`
		Public   string `json:"public"`
		File     string `json:"file"`
	}{cmd.Name, k.encodePublic(), file}
	return a.printResult(result, func(w io.Writer) {
		table(w, []string{"private key", file}, []string{"public key", result.Public})
	})
}

func publicFile(private string) string { return strings.TrimSuffix(private, ".key") + ".pub" }
