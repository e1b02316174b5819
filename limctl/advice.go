package main

import "limpethitch.example/core/rcode"

// advice tells an operator how to resolve each result code.
// docs/operators/rollout.md contains the same table; TestAdviceInPage compares
// the two.
var advice = map[rcode.Code]string{
	rcode.BundleInvalid:          "correct the named fields and check again; nothing was published",
	rcode.BundleUnsigned:         "have enough different approvers sign exactly this bundle with limctl sign; nothing was published",
	rcode.BundleConflict:         "read the winning version with limctl diff, make the change again on top of it and sign the next version",
	rcode.BundleOlder:            "take the version in force plus 1 and sign again; a version never goes back",
	rcode.RolloutWaiting:         "the version is published and cannot be undone; look at the named data centres with limctl status and run limctl roll with the same file again to go on waiting",
	rcode.OperatorRefused:        "set LIMCTL_TOKEN to this cell's operator token; nothing was published",
	rcode.SettingInvalid:         "correct the named flag or environment variable; nothing was published",
	rcode.KeyRefused:             "give the team a key that is not revoked and whose team may use the queue",
	rcode.QueueUnknown:           "correct the queue's name or roll a bundle that has the queue",
	rcode.Unschedulable:          "lower what the job asks for or add larger workers; no worker in service can ever hold it",
	rcode.JobUnknown:             "check the id; finished jobs are kept for 10 minutes",
	rcode.JobFailed:              "read the reason; the job failed on 3 different workers and is not started again",
	rcode.QueueFull:              "the team sends more than its queue holds; raise max_waiting or let the caller retry later",
	rcode.PolicyStale:            "the data centre cannot reach the store or the other data centres; check the network with limctl doctor",
	rcode.NoPolicy:               "publish the first bundle with limctl roll, or wait until this VM has read it from the store or a peer",
	rcode.StoreUnavailable:       "the store does not respond; accepted work goes on, roll again when it is back",
	rcode.NoOwner:                "wait a few seconds for a VM to take the shard; if it lasts, run limctl doctor",
	rcode.OverLimit:              "the team is at its upper limit; wait or roll a bundle with a higher limit",
	rcode.Draining:               "this entry VM is shutting down; call another one",
	rcode.DataCentreOutOfService: "the data centre is out of service; bring it back with limctl in when it is repaired",
	rcode.PeerUnreachable:        "no entry VM was reached; check --entry and the network with limctl doctor",
	rcode.OutcomeUnknown:         "it may or may not have taken effect; limctl history shows whether the version was published",
	rcode.AcceptUnknown:          "it may or may not have taken effect; ask for the job's status with the same id",
	rcode.NotFound:               "check the name or version; limctl history lists the versions",
	rcode.Internal:               "this is a fault of the software; keep the output and the entry VM's log",
}

// adviceFor returns the advice for a code, or an empty string.
func adviceFor(code rcode.Code) string { return advice[code] }
