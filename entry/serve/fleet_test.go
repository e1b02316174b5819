package serve

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/fleet"
	"limpethitch.example/entry/member"
	"limpethitch.example/entry/peer"
)

// TestOddEntryInVMList guards against an odd entry in the platform's list that hides the end of a
// VM, or has a VM taken for ended although it may go on: its shard would have two owners.
func TestOddEntryInVMList(t *testing.T) {
	t.Parallel()
	entry := func(id string) string {
		return fmt.Sprintf(`{"targets":["127.0.0.1:1"],"labels":{"id":%q,"role":"entry","data_centre":"a"}}`, id)
	}
	odd := func(id string) string { return strings.Replace(entry(id), `"entry"`, `"router"`, 1) }
	tests := map[string]struct {
		groups []string
		want   []string // VMs taken for ended, of vm1 to vm3
	}{
		"one ended":                       {groups: []string{entry("vm1"), entry("vm2")}, want: []string{"vm3"}},
		"one ended, odd entry of another": {groups: []string{odd("vm1"), entry("vm2")}, want: []string{"vm3"}},
		"odd entry without an id":         {groups: []string{entry("vm1"), odd("")}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := &VM{members: member.New(member.Config{Name: "vm1"}, nil, peer.Secret{}, nil, nil, nil), everListed: make(map[string]bool)}
			for _, groups := range [][]string{{entry("vm1"), entry("vm2"), entry("vm3")}, tt.groups, tt.groups} {
				list, err := fleet.Parse([]byte(`[` + strings.Join(groups, ",") + `]`))
				if err != nil {
					t.Fatal(err)
				}
				v.setFleet(list)
			}
			var ended []string
			for _, name := range []string{"vm1", "vm2", "vm3"} {
				if v.endedByPlatform(name) {
					ended = append(ended, name)
				}
			}
			if diff := cmp.Diff(tt.want, ended); diff != "" {
				t.Errorf("VMs taken for ended (-want +got):\n%s", diff)
			}
		})
	}
}
