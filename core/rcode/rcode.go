// Package rcode defines the numbered result codes that callers, operators and entry
// VMs receive, and errors with such a code.
//
// # Usage
//
// Create an error with New or Wrap and read its code with Of:
//
//	err := rcode.New(rcode.QueueFull, "queue %q holds %d requests", name, n)
//	if rcode.Of(err).NotRun() { ... }
//
// The range of a code tells the caller whether the work ran: 1xxx and 2xxx mean that
// it did not, with the exceptions of Code.NotRun, and 3xxx that its outcome is
// unknown. docs/CODES.md lists every code, and a test compares it with the table in
// this package.
package rcode

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result code, such as LH1001.
type Code string

// Result codes by range: 1xxx for calls that the caller has to change and for results
// of jobs, 2xxx for refused calls that may succeed later, 3xxx for unknown outcomes,
// 4xxx for operators' calls, 5xxx for settings and 6xxx for internal errors.
const (
	OK Code = "LH0000"

	BadRequest       Code = "LH1001"
	KeyMissing       Code = "LH1002"
	KeyRefused       Code = "LH1003"
	QueueUnknown     Code = "LH1004"
	BodyTooLarge     Code = "LH1005"
	DeadlinePassed   Code = "LH1006"
	Unschedulable    Code = "LH1007"
	JobUnknown       Code = "LH1008"
	IDReused         Code = "LH1009"
	JobFailed        Code = "LH1010"
	JobCancelled     Code = "LH1011"
	DeadlineTooFar   Code = "LH1012"
	MethodNotAllowed Code = "LH1013"

	QueueFull              Code = "LH2001"
	DeadlineUnmet          Code = "LH2002"
	PolicyStale            Code = "LH2003"
	NoPolicy               Code = "LH2004"
	StoreUnavailable       Code = "LH2005"
	NoOwner                Code = "LH2006"
	NoCapacity             Code = "LH2007"
	OverLimit              Code = "LH2008"
	Draining               Code = "LH2009"
	DataCentreOutOfService Code = "LH2010"
	BackendRefused         Code = "LH2011"
	NotOwner               Code = "LH2012"
	PeerUnreachable        Code = "LH2013"

	OutcomeUnknown   Code = "LH3001"
	AnswerIncomplete Code = "LH3002"
	AnswerMismatched Code = "LH3003"
	AnswerTooLarge   Code = "LH3004"
	AcceptUnknown    Code = "LH3005"

	BundleInvalid   Code = "LH4001"
	BundleUnsigned  Code = "LH4002"
	BundleConflict  Code = "LH4003"
	BundleOlder     Code = "LH4004"
	RolloutWaiting  Code = "LH4005"
	OperatorRefused Code = "LH4006"

	SettingInvalid Code = "LH5001"
	PortInUse      Code = "LH5002"

	Internal Code = "LH6001"
	Conflict Code = "LH6002"
	NotFound Code = "LH6003"
)

// Info describes a code.
type Info struct {
	code Code
	http int
	text string
}

// Code returns the code.
func (i Info) Code() Code { return i.code }

// HTTP returns the HTTP status sent with the code.
func (i Info) HTTP() int { return i.http }

// Text returns the code's meaning in one sentence.
func (i Info) Text() string { return i.text }

var table = []Info{
	{OK, 200, "the work ran and its whole answer follows"},
	{BadRequest, 400, "the request is malformed; it was not run"},
	{KeyMissing, 401, "the queue needs a key and none came with the request; it was not run"},
	{KeyRefused, 403, "the key is unknown, revoked or not allowed on this queue; it was not run"},
	{QueueUnknown, 404, "the bundle in force has no such queue; it was not run"},
	{BodyTooLarge, 413, "the body is larger than the queue accepts; it was not run"},
	{DeadlinePassed, 408, "the deadline passed before the work was started; it was not run"},
	{Unschedulable, 422, "no worker in service can ever hold this job; it was not run"},
	{JobUnknown, 404, "no job with this id is known"},
	{IDReused, 409, "the id was used before for a different request; this one was not run"},
	{JobFailed, 200, "the job ran and failed"},
	{JobCancelled, 200, "the job was cancelled"},
	{DeadlineTooFar, 400, "the deadline of a request lies too far in the future; it was not run"},
	{MethodNotAllowed, 405, "the path does not take this method; it was not run"},
	{QueueFull, 429, "the queue of this class and team is full; it was not run"},
	{DeadlineUnmet, 503, "the request cannot make its deadline under the present load; it was not run"},
	{PolicyStale, 503, "this data centre cannot confirm that its policy is current; it was not run"},
	{NoPolicy, 503, "this VM has no policy bundle yet; it was not run"},
	{StoreUnavailable, 503, "the platform's store does not answer; it was not run"},
	{NoOwner, 503, "the shard has no owner at the moment; it was not run"},
	{NoCapacity, 503, "no instance or worker has room before the deadline; it was not run"},
	{OverLimit, 429, "the team is at its upper limit, or over its share under overload; it was not run"},
	{Draining, 503, "this VM is shutting down; it was not run"},
	{DataCentreOutOfService, 503, "the data centre is out of service; it was not run"},
	{BackendRefused, 503, "the backend server refused before work began; it was not run"},
	{NotOwner, 503, "this VM does not own the shard; it was not run"},
	{PeerUnreachable, 503, "the shard's owner could not be reached; it was not run"},
	{OutcomeUnknown, 504, "the work may have run; its answer did not arrive"},
	{AnswerIncomplete, 502, "the backend server's answer was cut off; the work may have run"},
	{AnswerMismatched, 502, "the backend server answered for another request; the work may have run"},
	{AnswerTooLarge, 502, "the answer is larger than the limit; the work ran"},
	{AcceptUnknown, 504, "the job may have been accepted; ask for its status with the same id"},
	{BundleInvalid, 422, "the bundle has faults; nothing changed"},
	{BundleUnsigned, 403, "the bundle lacks a valid signature of the named approvers; nothing changed"},
	{BundleConflict, 409, "another operator rolled a version first; nothing changed"},
	{BundleOlder, 409, "the bundle is not newer than the one in force; nothing changed"},
	{RolloutWaiting, 202, "the bundle is published but not yet in force in every data centre"},
	{OperatorRefused, 403, "the operator token is missing or wrong; nothing changed"},
	{SettingInvalid, 500, "one or more settings are invalid"},
	{PortInUse, 500, "an address to listen on is in use"},
	{Internal, 500, "an internal fault; the log has the details"},
	{Conflict, 409, "a compare-and-swap found another revision"},
	{NotFound, 404, "the store has no such key"},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.code] = i
	}
	return m
}()

// All returns every code in the order of the table.
func All() []Info { return append([]Info(nil), table...) }

// Info returns the description of c, or that of Internal if c is not defined.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// NotRun reports whether the code guarantees that the work did not run.
func (c Code) NotRun() bool {
	return len(c) == 6 && (c[2] == '1' || c[2] == '2') && c != JobFailed && c != JobCancelled && c != JobUnknown
}

// Retryable reports whether the work did not run and the same call may succeed later.
func (c Code) Retryable() bool { return len(c) == 6 && c[2] == '2' }

// codedError is an error with a code and, if it wraps another error, its cause.
type codedError struct {
	code Code
	msg  string
	err  error
}

func (e *codedError) Error() string {
	if e.err == nil {
		return e.msg
	}
	return e.msg + ": " + e.err.Error()
}

func (e *codedError) Unwrap() error { return e.err }

// New returns an error with code c and a formatted message.
func New(c Code, format string, args ...any) error {
	return &codedError{code: c, msg: fmt.Sprintf(format, args...)}
}

// Wrap returns an error that wraps err and adds code c and a formatted message. It
// returns nil if err is nil.
func Wrap(err error, c Code, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &codedError{code: c, msg: fmt.Sprintf(format, args...), err: err}
}

// Of returns the outermost code in err's chain. It returns OK if err is nil and
// Internal if no error in the chain has a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *codedError
	if errors.As(err, &e) {
		return e.code
	}
	return Internal
}

// Is reports whether the outermost code in err's chain is c.
func Is(err error, c Code) bool { return Of(err) == c }

// Row returns the code's table row in docs/CODES.md.
func (i Info) Row() string { return fmt.Sprintf("| %s | %d | %s |", i.code, i.http, i.text) }
