package accept

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/engine"
)

// newOwner is the scheduler of an owner that knows no job yet.
type newOwner struct{ idleScheduler }

func (newOwner) Job(context.Context, string) (engine.JobStatus, error) {
	return engine.JobStatus{}, nil
}

// TestCancelOfUnansweredJob guards against a job that runs although its caller was told that there is no such
// job to cancel, because a write of it that got no answer is executed later, or an attempt is held up.
func TestCancelOfUnansweredJob(t *testing.T) {
	t.Parallel()
	const ok, refused, unknown, gone = rcode.OK, rcode.OverLimit, rcode.AcceptUnknown, rcode.JobUnknown
	tests := map[string]struct {
		// steps are calls: of the job (submit), of the job whose writes are not answered (submit lost), and
		// of its cancelling (cancel), also with a mark that is not answered (cancel lost), or whose
		// second try does not reach the store (cancel lost once). With land the writes without
		// an answer are executed, with cancel overtaken just before the mark.
		steps  []string
		want   []rcode.Code
		stored bool
	}{
		"the writes land after the cancelling":  {steps: []string{"submit lost", "cancel", "land"}, want: []rcode.Code{unknown, gone}},
		"the writes land before the cancelling": {steps: []string{"submit lost", "land", "cancel"}, want: []rcode.Code{unknown, ok}, stored: true},
		"an attempt arrives afterwards":         {steps: []string{"submit lost", "cancel", "submit", "land"}, want: []rcode.Code{unknown, gone, refused}},
		"the writes land between read and mark": {steps: []string{"submit lost", "cancel overtaken"}, want: []rcode.Code{unknown, ok}, stored: true},
		"never submitted":                       {steps: []string{"cancel"}, want: []rcode.Code{gone}},
		"the mark is not answered":              {steps: []string{"submit lost", "cancel lost"}, want: []rcode.Code{unknown, rcode.OutcomeUnknown}},
		"the mark is not answered, then no store": {
			steps: []string{"submit lost", "cancel lost once"}, want: []rcode.Code{unknown, rcode.OutcomeUnknown},
		},
		"stored": {steps: []string{"submit", "cancel"}, want: []rcode.Code{ok, ok}, stored: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			st := &interceptedStore{Memory: store.NewMemory()}
			s, _ := newLoadedService(t, st, &fakePeers{unreachable: true, delivered: make(chan string, 8)})
			s.cfg.Local = newOwner{}
			call := Call{Host: "h", Path: "/q/" + loadJob, Key: "k"}
			var got []rcode.Code
			for _, step := range tt.steps {
				st.intercept = nil
				switch step {
				case "land":
					st.land()
				case "submit":
					got = append(got, submitLoadJob(s, oneStep))
				case "submit lost":
					st.intercept = func(*store.Txn) bool { return false }
					got = append(got, submitLoadJob(s, oneStep))
				case "cancel":
					got = append(got, s.Cancel(context.Background(), call).Code())
				case "cancel overtaken":
					st.intercept = func(txn *store.Txn) bool {
						if txn.Ops()[0].Key() == engine.RefusalPrefix+loadJob {
							st.land()
						}
						return true
					}
					got = append(got, s.Cancel(context.Background(), call).Code())
				case "cancel lost once":
					s.cfg.Store = &scriptedStore{Memory: st.Memory, writes: []rcode.Code{rcode.OutcomeUnknown, rcode.StoreUnavailable}}
					got = append(got, s.Cancel(context.Background(), call).Code())
				case "cancel lost":
					st.intercept = func(*store.Txn) bool { return false }
					got = append(got, s.Cancel(context.Background(), call).Code())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			if _, err := st.Get(context.Background(), engine.JobPrefix+loadJob); tt.stored != (err == nil) {
				t.Errorf("stored: %v, want %v", err == nil, tt.stored)
			}
		})
	}
}
