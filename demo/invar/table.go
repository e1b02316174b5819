package main

// invariants returns the tests of each invariant. The demo checks the same
// invariants from the records of the stand-ins with all parts together.
func invariants() []invariant {
	return []invariant{
		{"I1", "no VM holds more than it can", map[string][]string{
			"entry/place": {"TestProperties", "TestOverload", "TestGangHold"},
		}},
		{"I2", "no task runs in two places", map[string][]string{
			"entry/owner": {"TestModel", "TestFaults"},
			"entry/place": {"TestRecovery", "TestOffer", "TestOwnAdopted", "TestDrops"},
			"entry/agent": {"TestStartCodes", "TestRenew"},
		}},
		{"I3", "keys decide, revoked ones stop", map[string][]string{
			"core/policy": {"TestKey", "TestOpenRefuses"},
			"entry/route": {"TestGateAfterDial"},
		}},
		{"I4", "no team above its limit", map[string][]string{
			"entry/place": {"TestProperties", "TestLoweredLimit"},
			"entry/quota": {"TestLedgerReserve", "TestTeamLoweredLimit"},
			"entry/route": {"TestStress"},
		}},
		{"I5", "no start in a data centre taken out", map[string][]string{
			"entry/place": {"TestOutOfService"},
		}},
		{"I6", "each caller gets its own whole response", map[string][]string{
			"entry/route": {"TestHTTPBackend", "TestRouterOverHTTP", "TestStress", "TestConcurrentID"},
		}},
		{"I7", "not run means not run", map[string][]string{
			"core/rcode":  {"TestNotRun"},
			"entry/agent": {"TestNeverSent"},
			"entry/route": {"TestHTTPBackendNotSent", "TestOutcome"},
		}},
		{"I8", "not repeatable runs at most once", map[string][]string{
			"entry/agent": {"TestStartCodes"},
			"entry/route": {"TestRepeatedID", "TestTookOver", "TestStress"},
		}},
		{"I9", "a leaving backend server gets nothing new", map[string][]string{
			"entry/route": {"TestStress"},
		}},
		{"I10", "a planned stop cuts off no request", map[string][]string{
			"entry/route":  {"TestHandover", "TestHandoverEnds"},
			"stand/caller": {"TestCutOff"},
		}},
		{"I11", "bundles are in force in seconds, none reverts", map[string][]string{
			"limctl": {"TestRollWaits", "TestRace", "TestManyOperators"},
		}},
	}
}
