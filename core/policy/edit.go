package policy

import (
	"encoding/json"

	"limpethitch.example/core/rcode"
)

// Encode returns the document as indented JSON.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "policy.Encode")
	}
	return append(raw, '\n'), nil
}

// Revoke marks a key as revoked. The key stays in the document so that its id
// cannot be reused.
func (d *Document) Revoke(id string) error {
	for i := range d.Teams {
		keys := d.Teams[i].Keys
		for j := range keys {
			if keys[j].ID != id {
				continue
			}
			if keys[j].Revoked {
				return rcode.New(rcode.BundleInvalid, "policy.Revoke: key %q is already revoked in version %d", id, d.Version)
			}
			keys[j].Revoked = true
			return nil
		}
	}
	return rcode.New(rcode.BundleInvalid, "policy.Revoke: no team of version %d has a key %q", d.Version, id)
}

// SetInService takes a data centre out of service or returns it to service.
func (d *Document) SetInService(name string, in bool) error {
	for i := range d.DataCentres {
		dc := &d.DataCentres[i]
		if dc.Name != name {
			continue
		}
		if dc.InService == in {
			return rcode.New(rcode.BundleInvalid, "policy.SetInService: data centre %q already has in_service=%t in version %d", name, in, d.Version)
		}
		dc.InService = in
		return nil
	}
	return rcode.New(rcode.BundleInvalid, "policy.SetInService: version %d has no data centre %q", d.Version, name)
}

// AddKey adds a key to a team. The key's id must not be in use by any team.
func (d *Document) AddKey(team string, key KeyDoc) error {
	for i := range d.Teams {
		for _, k := range d.Teams[i].Keys {
			if k.ID == key.ID {
				return rcode.New(rcode.BundleInvalid, "policy.AddKey: team %q already has a key %q", d.Teams[i].Name, key.ID)
			}
		}
	}
	for i := range d.Teams {
		if d.Teams[i].Name == team {
			d.Teams[i].Keys = append(d.Teams[i].Keys, key)
			return nil
		}
	}
	return rcode.New(rcode.BundleInvalid, "policy.AddKey: there is no team %q", team)
}
