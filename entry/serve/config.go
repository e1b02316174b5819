package serve

import (
	"net"
	"os"
	"strings"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/peer"
)

// Config holds the settings of an entry VM. The names of its fields become the names of
// the flags, which kong sets from the command line and the environment.
type Config struct {
	Name       string `help:"Name of this VM, as on the platform's VM list." env:"LIMPET_NAME" required:""`
	DataCentre string `help:"Data centre of this VM." env:"LIMPET_DATA_CENTRE" required:""`
	Listen     string `help:"IP:PORT for callers, operators and the load balancer." env:"LIMPET_LISTEN" default:"127.0.0.1:8080"`
	Peer       string `help:"IP:PORT for other entry VMs (TCP and UDP)." env:"LIMPET_PEER" default:"127.0.0.1:7100"`
	Seeds      string `help:"Comma-separated IP:PORT of other entry VMs, used to start when the VM list is unavailable." env:"LIMPET_SEEDS"`
	Store      string `help:"URL of the platform's key-value service." env:"LIMPET_STORE" required:""`
	VMs        string `name:"vms" help:"URL of the platform's VM list." env:"LIMPET_VMS" required:""`
	Secret     string `help:"Secret shared by all entry VMs, at least 16 characters; or @FILE." env:"LIMPET_SECRET" required:""`
	Approvers  string `help:"Public keys of the approvers, comma-separated NAME=BASE64." env:"LIMPET_APPROVERS" required:""`
	Approvals  int    `help:"Number of approvers who must sign a bundle." env:"LIMPET_APPROVALS" default:"1"`
	Token      string `help:"Operator token; or @FILE. If empty, all operator requests are rejected." env:"LIMPET_TOKEN"`
	Cert       string `help:"Certificate file for TLS with callers; empty turns TLS off." env:"LIMPET_CERT"`
	Key        string `help:"Key file of the certificate." env:"LIMPET_KEY"`
	Shards     int    `help:"Shards of each new data centre; existing data centres keep theirs." env:"LIMPET_SHARDS" default:"2"`
	GroupMS    int64  `help:"Maximum time in ms that an accepted job waits to be written together with others." env:"LIMPET_GROUP_MS" default:"50"`
	Level      string `help:"Lowest level of log lines: debug, info, warn, error." env:"LIMPET_LOG" default:"info"`
}

// Check reads the values given as @FILE and returns one error that names all invalid
// settings.
func (c *Config) Check() error {
	var problems []string
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}
	for name, value := range map[string]*string{"secret": &c.Secret, "token": &c.Token} {
		if err := readFileValue(value); err != nil {
			problems = append(problems, name+": "+err.Error())
		}
	}
	check(validName(c.Name), "name: 1 to 63 of a-z, 0-9 and -")
	check(validName(c.DataCentre), "data-centre: 1 to 63 of a-z, 0-9 and -")
	check(isAddr(c.Listen), "listen: "+c.Listen+" is not IP:PORT")
	check(isAddr(c.Peer), "peer: "+c.Peer+" is not IP:PORT")
	for _, s := range c.seeds() {
		check(isAddr(s), "seeds: "+s+" is not IP:PORT")
	}
	check(strings.HasPrefix(c.Store, "http://"), "store: must be http://IP:PORT")
	check(strings.HasPrefix(c.VMs, "http://"), "vms: must be http://IP:PORT/PATH")
	if _, err := peer.NewSecret(c.Secret); err != nil {
		problems = append(problems, "secret: shorter than 16 characters")
	}
	if _, err := policy.NewApprovers(c.Approvers, c.Approvals); err != nil {
		problems = append(problems, "approvers: "+err.Error())
	}
	check(c.Token == "" || len(c.Token) >= 16, "token: shorter than 16 characters")
	check((c.Cert == "") == (c.Key == ""), "cert and key: set both or neither")
	check(c.Shards >= 1 && c.Shards <= 64, "shards: must be between 1 and 64")
	check(c.GroupMS >= 1 && c.GroupMS <= 2000, "group-ms: must be between 1 and 2000")
	if len(problems) > 0 {
		return rcode.New(rcode.SettingInvalid, "invalid settings: %s", strings.Join(problems, "; "))
	}
	return nil
}

func (c *Config) seeds() []string {
	var out []string
	for _, s := range strings.Split(c.Seeds, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

func (c *Config) groupDelay() time.Duration { return time.Duration(c.GroupMS) * time.Millisecond }

// readFileValue replaces a value of the form @FILE with the content of the file.
func readFileValue(value *string) error {
	path, ok := strings.CutPrefix(*value, "@")
	if !ok {
		return nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return rcode.New(rcode.SettingInvalid, "cannot read %s", path)
	}
	*value = strings.TrimSpace(string(body))
	return nil
}

func validName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}
