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
// serves about 2,000 reads per second in total, so 2 per second from one operator
// are negligible.
const pollInterval = 500 * time.Millisecond

// publication publishes one version. Its base is the version that the signer
// changed, not the current one at the time of publication, so that a version
// published in between causes a conflict.
type publication struct {
	app      *app
	raw      []byte
	signed   *policy.Signed
	version  int64
	deadline clock.Mono
	// uncertain is set once a request without a reply may have taken effect.
	uncertain bool
}

// publish publishes the signed form and returns nil once it is certain that this
// version with these bytes was published.
//
// After a lost reply it reads the published version, and sends the same bytes again
// only if that read shows that the version is not published. The entry VM compares
// if_version in the store, so at most one of two identical requests takes effect; if
// the second is refused, the published bytes are compared with these.
func (p *publication) publish() error {
	var err error
	for {
		for _, entry := range p.app.client.entries {
			var done bool
			if done, err = p.attempt(entry); done {
				return err
			}
		}
		if !p.uncertain {
			return err
		}
		if p.app.clock.Now() >= p.deadline {
			return p.outcomeUnknown(err)
		}
		<-p.app.clock.After(pollInterval)
	}
}

func (p *publication) outcomeUnknown(err error) error {
	return rcode.Wrap(err, rcode.OutcomeUnknown, "version %d: a reply was lost and it cannot be determined whether the version was published", p.version)
}

// attempt publishes through one entry VM. done is true if the outcome is certain or
// trying another entry VM cannot change it.
func (p *publication) attempt(entry string) (done bool, err error) {
	if p.uncertain {
		if done, err = p.resolveOutcome(); done || err != nil {
			return done, err
		}
	}
	raw, err := p.app.client.call(fasthttp.MethodPost, entry, fmt.Sprintf("/v1/bundles?if_version=%d", p.version-1), p.raw)
	if err == nil {
		return true, p.checkAccepted(raw)
	}
	code := rcode.Of(err)
	var lost *noReplyError
	switch {
	case code == rcode.BundleConflict || code == rcode.BundleOlder:
		return p.handleConflict(err)
	case errors.As(err, &lost) || code[2] == '3' || code == rcode.Internal:
		p.uncertain = true
		if done, serr := p.resolveOutcome(); done {
			return true, serr
		}
		return false, err
	case code.Retryable():
		return false, err
	case p.uncertain:
		return true, p.outcomeUnknown(err)
	}
	return true, err
}

func (p *publication) checkAccepted(raw []byte) error {
	var reply struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Version != p.version {
		return p.outcomeUnknown(rcode.New(rcode.Internal, "the entry VM replied with version %d", reply.Version))
	}
	return nil
}

// handleConflict handles a refusal caused by another version. The published bytes
// may still be these, from a request whose reply was lost or from a co-signer.
func (p *publication) handleConflict(refusal error) (done bool, err error) {
	switch found, _ := p.readPublished(); {
	case found == readBackSame:
		return true, nil
	case found == readBackFailed && p.uncertain:
		return false, refusal
	}
	return true, refusal
}

// resolveOutcome reads whether a request without a reply published the version. It
// returns false and no error if the version is certainly not published yet.
func (p *publication) resolveOutcome() (done bool, err error) {
	found, err := p.readPublished()
	switch found {
	case readBackSame:
		return true, nil
	case readBackOther:
		return true, err
	case readBackAbsent:
		return false, nil
	}
	return false, err
}

// readBack is the result of comparing the published version with this one.
type readBack string

const (
	readBackSame   readBack = "same"
	readBackOther  readBack = "other"
	readBackAbsent readBack = "absent"
	readBackFailed readBack = "unread"
)

// readPublished compares the published bytes of the version with these. The error
// names the author of a different bundle, or why the read failed.
func (p *publication) readPublished() (readBack, error) {
	f, current, err := p.app.current()
	switch {
	case err != nil:
		return readBackFailed, err
	case current == nil || current.Version() < p.version:
		return readBackAbsent, nil
	case bytes.Equal(f.signed.Bundle, p.signed.Bundle):
		return readBackSame, nil
	}
	conflict := rcode.New(rcode.BundleConflict, "version %d by %s was published first", current.Version(), current.Author())
	if current.Version() == p.version {
		return readBackOther, conflict
	}
	f, err = p.app.load(fmt.Sprintf("v%d", p.version))
	switch {
	case err != nil:
		return readBackFailed, err
	case bytes.Equal(f.signed.Bundle, p.signed.Bundle):
		return readBackSame, nil
	}
	return readBackOther, conflict
}
