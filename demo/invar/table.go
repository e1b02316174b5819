package main

// invariants returns the tests of each invariant. Command demo checks the same
// invariants end to end, against the records of the stand-ins.
func invariants() []invariant {
	return []invariant{
		{"I1", "no VM holds more than it can", map[string][]string{
			"entry/place": {"TestProperties", "TestOverload", "TestGangHold"},
			"entry/cell":  {"TestTakeover"},
			"entry/serve": {"TestWholePath"},
		}},
		{"I2", "no task runs in two places", map[string][]string{
			"entry/owner": {"TestModel", "TestFaults"},
			"entry/place": {"TestRecovery", "TestOffer", "TestOwnAdopted", "TestDrops"},
			"entry/agent": {"TestStartCodes", "TestRenew"},
			"entry/cell":  {"TestTakeover", "TestTakeoverWaitsForTheListOfWorkers", "TestFirstLeaseEndsWithTheAuthority", "TestPausedOwnerStartsNothing", "TestUncertainStart", "TestSilentWorker", "TestLateOffer", "TestDelegation"},
		}},
		{"I3", "keys decide, revoked ones stop", map[string][]string{
			"core/policy":  {"TestKey", "TestOpenRefuses"},
			"entry/route":  {"TestGateAfterDial"},
			"entry/cell":   {"TestRevokedKeyStopsQueuedJobs"},
			"entry/front":  {"TestRefusals", "TestQueueClosedMeanwhile"},
			"entry/member": {"TestNeverFreshBeyondNewerVersion"},
			"entry/serve":  {"TestWholePath"},
		}},
		{"I4", "no team above its limit", map[string][]string{
			"entry/place": {"TestProperties", "TestLoweredLimit"},
			"entry/quota": {"TestLedgerReserve", "TestTeamLoweredLimit"},
			"entry/route": {"TestStress"},
			"entry/cell":  {"TestLoweredLimitShedsTheExcess"},
		}},
		{"I5", "no start in a data centre taken out", map[string][]string{
			"entry/place":  {"TestOutOfService"},
			"entry/cell":   {"TestDataCentreOutMovesQueuedJobs"},
			"entry/member": {"TestNeverFreshBeyondNewerVersion"},
			"entry/serve":  {"TestWholePath"},
		}},
		{"I6", "each caller gets its own whole response", map[string][]string{
			"entry/route": {"TestHTTPBackend", "TestRouterOverHTTP", "TestStress", "TestConcurrentID"},
			"entry/front": {"TestPipelining", "TestSmuggling"},
		}},
		{"I7", "not run means not run", map[string][]string{
			"core/rcode":  {"TestNotRun"},
			"entry/agent": {"TestNeverSent"},
			"entry/route": {"TestHTTPBackendNotSent", "TestOutcome"},
			"entry/serve": {"TestWorse"},
			"entry/cell":  {"TestCancelDuringRecovery", "TestCancelThatCrossesAStart"},
			"entry/peer":  {"TestErrors"},
		}},
		{"I8", "not repeatable runs at most once", map[string][]string{
			"entry/agent": {"TestStartCodes"},
			"entry/route": {"TestRepeatedID", "TestTookOver", "TestStress"},
			"entry/cell":  {"TestMarkIsKeptBeforeAnyStart", "TestLostByTheOtherShard"},
			"entry/serve": {"TestWholePath"},
		}},
		{"I9", "a leaving backend server gets nothing new", map[string][]string{
			"entry/route": {"TestStress"},
		}},
		{"I10", "a planned stop cuts off no request", map[string][]string{
			"entry/route":  {"TestHandover", "TestHandoverEnds"},
			"stand/caller": {"TestCutOff"},
			"entry/front":  {"TestDraining", "TestShutdown"},
			"entry/serve":  {"TestWholePath"},
		}},
		{"I11", "bundles are in force in seconds, none reverts", map[string][]string{
			"limctl":       {"TestRollWaits", "TestRace", "TestManyOperators"},
			"entry/roll":   {"TestAdoptNeverGoesBack", "TestStaleReadsAndLateStart", "TestPublish", "TestRollout"},
			"entry/member": {"TestNeverFreshBeyondNewerVersion", "TestReplacedDataCentre"},
		}},
	}
}
