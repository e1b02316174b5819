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

// Config holds the settings of an entry VM. Its fields are exported because
// kong fills them from flags and environment variables.
type Config struct {
	Name       string `help:"Name of this VM, as on the platform's list." env:"LIMPET_NAME" required:""`
	DataCentre string `help:"Data centre of this VM." env:"LIMPET_DATA_CENTRE" required:""`
	Listen     string `help:"IP:PORT for callers, operators and the balancer." env:"LIMPET_LISTEN" default:"127.0.0.1:8080"`
	Peer       string `help:"IP:PORT for other entry VMs (TCP and UDP)." env:"LIMPET_PEER" default:"127.0.0.1:7100"`
	Seeds      string `help:"IP:PORT of other entry VMs, separated by commas, for a start without the VM list." env:"LIMPET_SEEDS"`
	Store      string `help:"URL of the platform's key-value service." env:"LIMPET_STORE" required:""`
	VMs        string `name:"vms" help:"URL of the platform's VM list." env:"LIMPET_VMS" required:""`
	Secret     string `help:"Secret shared by all entry VMs, at least 16 characters; or @FILE." env:"LIMPET_SECRET" required:""`
	Approvers  string `help:"Approvers' public keys, NAME=BASE64 separated by commas." env:"LIMPET_APPROVERS" required:""`
	Approvals  int    `help:"How many approvers must have signed a bundle." env:"LIMPET_APPROVALS" default:"1"`
	Token      string `help:"Operators' token; or @FILE. Empty refuses all operators." env:"LIMPET_TOKEN"`
	Cert       string `help:"Certificate file for TLS towards callers; empty turns TLS off." env:"LIMPET_CERT"`
	Key        string `help:"Key file of the certificate." env:"LIMPET_KEY"`
	Shards     int    `help:"Shards of each data centre; used only when the cell is first set up." env:"LIMPET_SHARDS" default:"2"`
	GroupMS    int64  `help:"Longest time in ms that an accepted job waits for its grouped write." env:"LIMPET_GROUP_MS" default:"50"`
	Level      string `help:"Lowest level of log lines: debug, info, warn, error." env:"LIMPET_LOG" default:"info"`
}

// Check returns all faults of the settings as one error and reads @FILE values.
func (c *Config) Check() error {
	var faults []string
	need := func(ok bool, text string) {
		if !ok {
			faults = append(faults, text)
		}
	}
	for name, value := range map[string]*string{"secret": &c.Secret, "token": &c.Token} {
		if err := fromFile(value); err != nil {
			faults = append(faults, name+": "+err.Error())
		}
	}
	need(validName(c.Name), "name: 1 to 63 of a-z, 0-9 and -")
	need(validName(c.DataCentre), "data-centre: 1 to 63 of a-z, 0-9 and -")
	need(isAddr(c.Listen), "listen: "+c.Listen+" is not IP:PORT")
	need(isAddr(c.Peer), "peer: "+c.Peer+" is not IP:PORT")
	for _, s := range c.seeds() {
		need(isAddr(s), "seeds: "+s+" is not IP:PORT")
	}
	need(strings.HasPrefix(c.Store, "http://"), "store: must be http://IP:PORT")
	need(strings.HasPrefix(c.VMs, "http://"), "vms: must be http://IP:PORT/PATH")
	if _, err := peer.NewSecret(c.Secret); err != nil {
		faults = append(faults, "secret: shorter than 16 characters")
	}
	if _, err := policy.NewApprovers(c.Approvers, c.Approvals); err != nil {
		faults = append(faults, "approvers: "+err.Error())
	}
	need(c.Token == "" || len(c.Token) >= 16, "token: shorter than 16 characters")
	need((c.Cert == "") == (c.Key == ""), "cert and key: both or none")
	need(c.Shards >= 1 && c.Shards <= 64, "shards: not within 1 to 64")
	need(c.GroupMS >= 1 && c.GroupMS <= 2000, "group-ms: not within 1 to 2000")
	if len(faults) > 0 {
		return rcode.New(rcode.SettingInvalid, "settings: %s", strings.Join(faults, "; "))
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

func fromFile(value *string) error {
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
