package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"os"
	"strings"

	"limpethitch.example/core/rcode"
)

// approverKey is an approver's private key. It is never printed.
type approverKey struct {
	name    string
	private ed25519.PrivateKey
}

// String returns only the name, so that logging a key by mistake does not reveal it.
func (k approverKey) String() string { return "approver " + k.name }

func (k approverKey) public() ed25519.PublicKey { return k.private.Public().(ed25519.PublicKey) }

// parseApproverKey parses "name=base64 of the seed". Its errors do not quote the
// text, which is secret.
func parseApproverKey(text, source string) (approverKey, error) {
	name, enc, ok := strings.Cut(strings.TrimSpace(text), "=")
	seed, err := base64.StdEncoding.DecodeString(enc)
	if !ok || name == "" || err != nil || len(seed) != ed25519.SeedSize {
		return approverKey{}, rcode.New(rcode.SettingInvalid, "%s: it does not hold name=base64 of a private key", source)
	}
	return approverKey{name: name, private: ed25519.NewKeyFromSeed(seed)}, nil
}

func (k approverKey) encode() string {
	return k.name + "=" + base64.StdEncoding.EncodeToString(k.private.Seed()) + "\n"
}

func (k approverKey) encodePublic() string {
	return k.name + "=" + base64.StdEncoding.EncodeToString(k.public())
}

// loadKeys reads the private keys from the files and from LIMCTL_APPROVER_KEY.
func loadKeys(files []string) ([]approverKey, error) {
	var keys []approverKey
	for _, file := range files {
		raw, err := readSecretFile(file)
		if err != nil {
			return nil, err
		}
		k, err := parseApproverKey(string(raw), file)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	if env := os.Getenv("LIMCTL_APPROVER_KEY"); env != "" {
		for _, part := range strings.Split(env, ",") {
			k, err := parseApproverKey(part, "LIMCTL_APPROVER_KEY")
			if err != nil {
				return nil, err
			}
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return nil, rcode.New(rcode.SettingInvalid, "no private key: set --key-file or LIMCTL_APPROVER_KEY")
	}
	return keys, nil
}

// readSecretFile reads a file and refuses it if other users have access to it.
func readSecretFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "main.readSecretFile")
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, rcode.New(rcode.SettingInvalid, "main.readSecretFile: %s has mode %04o and must not be accessible to group or others (chmod 600)", file, mode)
	}
	raw, err := os.ReadFile(file)
	return raw, rcode.Wrap(err, rcode.SettingInvalid, "main.readSecretFile")
}

// createFile writes a file that must not exist yet.
func createFile(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return rcode.Wrap(err, rcode.SettingInvalid, "main.createFile")
	}
	_, err = f.Write(data)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return rcode.Wrap(err, rcode.SettingInvalid, "main.createFile")
}
