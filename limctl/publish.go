package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// pollInterval is the time between two reads while a command waits. The store
// serves about 2,000 reads a second to everyone; 2 a second from one operator
// do not matter.
const pollInterval = 500 * time.Millisecond

// publication is one attempt of an operator to publish a version. Its base is
// the version that the signer changed, not the one found at publication: a
// version published in between has to win.
type publication struct {
	app     *app
	raw     []byte
	signed  *policy.Signed
	version int64
	stop    clock.Mono
	// unsettled is set once a request may have taken effect without a reply.
	unsettled bool
}

// publish publishes the signed form and returns nil once it is certain that this
// version with these bytes was published.
//
// A lost reply is settled by reading. The same bytes are sent again only after a
// read showed that the version is not published: the entry VM compares
// if_version in the store, so of two identical requests at most one takes effect,
// and a refusal of the second is compared with the published bytes.
func (p *publication) publish() error {
	var err error
	for {
		for _, entry := range p.app.client.entries {
			var done bool
			if done, err = p.attempt(entry); done {
				return err
			}
		}
		if !p.unsettled {
			return err
		}
		if p.app.clock.Now() >= p.stop {
			return p.unknown(err)
		}
		<-p.app.clock.After(pollInterval)
	}
}

func (p *publication) unknown(err error) error {
	return rcode.Wrap(err, rcode.OutcomeUnknown, "version %d: a reply was lost and reading does not tell whether it was published", p.version)
}

// attempt publishes through one entry VM. It is done when the result is certain
// or no other entry VM can change it.
func (p *publication) attempt(entry string) (done bool, err error) {
	if p.unsettled {
		if done, err = p.settle(); done || err != nil {
			return done, err
		}
	}
	raw, err := p.app.client.call(fasthttp.MethodPost, entry, fmt.Sprintf("/v1/bundles?if_version=%d", p.version-1), p.raw)
	if err == nil {
		return true, p.accepted(raw)
	}
	code := rcode.Of(err)
	var lost *noReply
	switch {
	case code == rcode.BundleConflict || code == rcode.BundleOlder:
		return p.refused(err)
	case errors.As(err, &lost) || code[2] == '3' || code == rcode.Internal:
		p.unsettled = true
		if done, serr := p.settle(); done {
			return true, serr
		}
		return false, err
	case code.Retryable():
		return false, err
	case p.unsettled:
		return true, p.unknown(err)
	}
	return true, err
}

func (p *publication) accepted(raw []byte) error {
	var reply struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Version != p.version {
		return p.unknown(rcode.New(rcode.Internal, "the entry VM named version %d", reply.Version))
	}
	return nil
}

// refused handles a refusal because of another version. The published bytes may
// still be these, from a request whose reply was lost or from a co-signer.
func (p *publication) refused(refusal error) (done bool, err error) {
	switch found, _ := p.find(); {
	case found == findingSame:
		return true, nil
	case found == findingUnread && p.unsettled:
		return false, refusal
	}
	return true, refusal
}

// settle reads whether a request without a reply published the version. It is
// not done, without an error, when the version is certainly not published yet.
func (p *publication) settle() (done bool, err error) {
	found, err := p.find()
	switch found {
	case findingSame:
		return true, nil
	case findingOther:
		return true, err
	case findingAbsent:
		return false, nil
	}
	return false, err
}

// finding is what a read of the published version showed.
type finding string

const (
	findingSame   finding = "same"
	findingOther  finding = "other"
	findingAbsent finding = "absent"
	findingUnread finding = "unread"
)

// find compares the published bytes of the version with these. The error says
// who published another bundle, or why it could not be read.
func (p *publication) find() (finding, error) {
	f, current, err := p.app.current()
	switch {
	case err != nil:
		return findingUnread, err
	case current == nil || current.Version() < p.version:
		return findingAbsent, nil
	case bytes.Equal(f.signed.Bundle, p.signed.Bundle):
		return findingSame, nil
	}
	conflict := rcode.New(rcode.BundleConflict, "version %d by %s was published first", current.Version(), current.Author())
	if current.Version() == p.version {
		return findingOther, conflict
	}
	f, err = p.app.load(fmt.Sprintf("v%d", p.version))
	switch {
	case err != nil:
		return findingUnread, err
	case bytes.Equal(f.signed.Bundle, p.signed.Bundle):
		return findingSame, nil
	}
	return findingOther, conflict
}
