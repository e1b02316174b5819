package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const signManual = `Checks a bundle and adds the signatures of one or more approvers. FILE is a
bundle document or a signed bundle: a second approver signs the file that the
first one produced, and the signed bytes stay identical. The private keys come from --key-file or
LIMCTL_APPROVER_KEY. Compare the printed digest with the other approvers.

Examples:

  limctl sign bundle.json --key-file ana.key --out signed.json
  limctl sign signed.json --key-file ben.key --out signed2.json`

type signCmd struct {
	File    string   `arg:"" help:"Bundle to sign."`
	KeyFile []string `help:"Files with approvers' private keys." placeholder:"FILE"`
	Out     string   `help:"File for the signed bundle (default: standard output)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*signCmd) Help() string { return signManual }

// signResult is the JSON output of sign.
type signResult struct {
	Version   int64    `json:"version"`
	Digest    string   `json:"sha256"`
	Approvers []string `json:"approvers"`
	Bytes     int      `json:"bytes"`
	File      string   `json:"file"`
}

// Run checks the bundle, adds the signatures and writes the result.
func (cmd *signCmd) Run(a *app) error {
	f, err := a.load(cmd.File)
	if err != nil {
		return err
	}
	bundle, err := f.compile()
	if err != nil {
		return err
	}
	keys, err := loadKeys(cmd.KeyFile)
	if err != nil {
		return err
	}
	signed := f.signed
	if signed == nil {
		if signed, err = policy.NewSigned(f.doc); err != nil {
			return err
		}
	}
	raw, err := a.sign(signed, keys)
	if err != nil {
		return err
	}
	if cmd.Out == "" {
		_, err := fmt.Fprintf(a.stdout, "%s\n", raw)
		return rcode.Wrap(err, rcode.Internal, "signCmd.Run")
	}
	if err := writeFileAtomic(cmd.Out, raw); err != nil {
		return err
	}
	result := newSignResult(signed, bundle.Version(), len(raw), cmd.Out)
	return a.printResult(result, result.print)
}

func newSignResult(s *policy.Signed, version int64, size int, file string) signResult {
	result := signResult{Version: version, Digest: digest(s), Bytes: size, File: file}
	for _, sig := range s.Signatures {
		result.Approvers = append(result.Approvers, sig.Approver)
	}
	return result
}

func (r signResult) print(w io.Writer) {
	fmt.Fprintf(w, "version %d signed by %s, %d bytes in %s\nsha256 of the signed bytes: %s\n",
		r.Version, strings.Join(r.Approvers, ", "), r.Bytes, r.File, r.Digest)
}

func digest(s *policy.Signed) string {
	sum := sha256.Sum256(s.Bundle)
	return hex.EncodeToString(sum[:])
}

// sign adds the missing signatures and returns the encoded signed bundle.
func (a *app) sign(s *policy.Signed, keys []approverKey) ([]byte, error) {
	list, known, err := a.approvers()
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		public, ok := list.Key(k.name)
		if known && (!ok || !bytes.Equal(public, k.public())) {
			return nil, rcode.New(rcode.BundleUnsigned, "the key of %q is not that of an approver", k.name)
		}
		if !s.SignedBy(k.name, k.public()) {
			s.Sign(k.name, k.private)
		}
	}
	return s.Marshal()
}
