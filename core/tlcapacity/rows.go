package tlcapacity

// Rows returns what each role costs a node at the target size, in the order of the page.
func Rows() []Row {
	var all []Row
	for _, rows := range [][]Row{byteRows(), requestRows(), processorRows(), memoryRows(), appendRows()} {
		all = append(all, rows...)
	}
	return all
}

func byteRows() []Row {
	list := Factor{"entries", listEntries}
	changes := Factor{"changes of the configuration/s", changesPerS}
	engines := Factor{"engines", poolEngines}
	return []Row{
		{"gossip, membership", Control, Bytes, []Factor{gossipBytes.of("B/s", 1)}, "a bounded set of neighbours; two short messages and a long one each heartbeat"},
		{"load poller", Control, Bytes, []Factor{engines, {"questions/s", pollsPerS}, pollBytes.of("B", 1)}, "one home asks for each engine"},
		{"reconciler", Control, Bytes, []Factor{engines, {"questions/s", observesPerS}, pollBytes.of("B", 1)}, "one home observes each engine; no lease while all is as declared"},
		{"cache events", Control, Bytes, []Factor{{"prefill engines", prefillEngines}, {"questions/s", pollsPerS}, eventBytes.of("B", 1)}, "with each load; only new events are sent"},
		{"sweeper", Control, Bytes, []Factor{engines, {"lists/s", sweepsPerS}, {"streams an engine", engineStreams}, streamBytes.of("B", 1)}, "lists an engine once a minute, and when a report or a lost owner asks for it"},
		{"instance-list reader, unchanged", Control, Bytes, []Factor{{"readings/s", 1}, sameListBytes.of("B", 1)}, "the list's entity tag"},
		{"instance-list reader, changed", Control, Bytes, []Factor{{"changes/s", listChangesPerS}, list, listBytes.of("B", 1)}, "the whole list at each change"},
		{"configuration applier and follower", Control, Bytes, []Factor{changes, changeBytes.of("B", 1)}, "each record comes once, from a reader"},
		{"configuration: what goes with a record", Control, Bytes, []Factor{changes, passingBytes.of("B", 1)}, "the call that waits, news of the generation by gossip"},
		{"configuration reader", FewNodes, Bytes, []Factor{changes, {"followers", followers}, changeBytes.of("B", 1)}, "three readers in a data centre pass records on"},
		{"busiest home: load, observation", FewNodes, Bytes, []Factor{mostPools.of("pools", 1), engines, {"questions/s", pollsPerS + observesPerS}, pollBytes.of("B", 1)}, "rendezvous hashing, without a bound on pools"},
		{"claims home", FewNodes, Bytes, []Factor{{"readings/s", logReadsPerS}, logReadBytes.of("B", 1)}, "a home reads only its own streams; 16 streams in all"},
		{"replacement", Control, Bytes, []Factor{{"new instances/s", replacementsPerS}, {"peers asked", configReaders + 1}, {"of all nodes", 1 / nodes}, stateBytes.of("B", 1000)}, "a new instance asks some peers for the whole state"},
	}
}

func requestRows() []Row {
	rate := Factor{"requests/s", nodeRequests}
	ways := Factor{"ways", bothWays}
	return []Row{
		{"owner and home: submissions", Request, Bytes, []Factor{rate, ways, submitBytes.of("B", 1)}, "one message a try"},
		{"owner and home: blocks of prompts", Request, Bytes, []Factor{rate, ways, {"blocks", promptBlocks}, blockBytes.of("B", 1)}, "hashes of 256 tokens"},
		{"home: steps", Request, Bytes, []Factor{rate, ways, {"steps", stepsARequest}, stepBytes.of("B", 1)}, "start prefill, start transfer"},
		{"owner: reports", Request, Bytes, []Factor{rate, ways, {"reports", reportsARequest}, reportBytes.of("B", 1)}, "prefill, transfer, progress every 256 tokens, end"},
	}
}

func processorRows() []Row {
	return []Row{
		{"gossip, membership, configuration", Control, Processor, []Factor{meshTime.of("ms/s", 1)}, "cost levels off with the count of instances"},
		{"load poller, reconciler", Control, Processor, []Factor{{"engines", poolEngines}, {"questions/s", pollsPerS + observesPerS}, pollTime.of("ms", 1)}, "HTTP calls, kept connections"},
		{"cache events", Control, Processor, []Factor{{"prefill engines", prefillEngines}, {"questions/s", pollsPerS}, pollTime.of("ms", 1)}, "HTTP calls, kept connections"},
		{"instance-list reader, unchanged", Control, Processor, []Factor{{"readings/s", 1}, sameListTime.of("ms", 1)}, "the list's entity tag"},
		{"instance-list reader, changed", Control, Processor, []Factor{{"changes/s", listChangesPerS}, {"entries", listEntries}, listTime.of("ms", 1)}, "the whole list at each change"},
		{"configuration applier and follower", Control, Processor, []Factor{{"changes of the configuration/s", changesPerS}, changeTime.of("ms", 1)}, "a pure fold, lookups built anew"},
		{"choice of homes", Control, Processor, []Factor{{"pools", poolCount}, {"rounds/s", homeRoundsPerS}, homeTime.of("ms", 1)}, "hashes only where the pool is in this data centre"},
		{"busiest home: load, observation", FewNodes, Processor, []Factor{mostPools.of("pools", 1), {"engines", poolEngines}, {"questions/s", pollsPerS + observesPerS}, pollTime.of("ms", 1)}, "rendezvous hashing, without a bound on pools"},
		{"claims home", FewNodes, Processor, []Factor{{"claims and outcomes/s", 1000}, claimTime.of("ms", microsecond)}, "a fold by the home of the stream only"},
		{"home, scheduler", Request, Processor, []Factor{{"requests/s", nodeRequests}, requestTime.of("ms", microsecond)}, "one pool of 14 engines"},
		{"owner and home: messages", Request, Processor, []Factor{{"requests/s", nodeRequests}, {"messages", messagesARequest}, messageTime.of("ms", 1)}, "CBOR over kept WebSockets"},
		{"entries answer", Request, Processor, []Factor{{"answers/s, one a request", nodeRequests}, rankTime.of("ms", 1)}, "ranked anew from membership at each call"},
		{"owner, relay", Request, Processor, []Factor{{"tokens/s", nodeTokens}, tokenTime.of("ms", microsecond)}, "each token is read and written once"},
	}
}

func memoryRows() []Row {
	return []Row{
		{"all roles, idle", Control, Memory, []Factor{idleHeap.of("MB", 1)}, "bounded tables and connections"},
		{"gossip, membership: linear bound", Control, Memory, []Factor{{"further instances", nodes - 50}, peerHeap.of("MB", kilobyte)}, "one entry for each instance; connections grow with the logarithm"},
		{"configuration", Control, Memory, []Factor{configHeap.of("MB", mebibyteInMega)}, "one state and its lookups, whole at every node"},
		{"instance list", Control, Memory, []Factor{{"entries", listEntries}, listHeap.of("MB", megabyte)}, "whole at every node"},
		{"claims home", FewNodes, Memory, []Factor{{"claims kept in a stream", keptClaims / claimStreams}, claimHeap.of("MB", megabyte)}, "answers are read from the log again"},
		{"owner, relay", Request, Memory, []Factor{{"streams", nodeStreams}, streamHeap.of("MB", kilobyte)}, "a connection to the engine and one to the caller"},
	}
}

func appendRows() []Row {
	return []Row{
		{"configuration applier", Platform, Appends, []Factor{{"changes/s", changesPerS}}, "one record a change"},
		{"configuration reader: snapshots", Platform, Appends, []Factor{{"snapshots/s", snapshotsPerS}}, "one chosen reader, every 10 min or 256 changes"},
		{"reconciler: leases", Platform, Appends, []Factor{{"rolls of all pools/s", rollsPerDay / secondsPerDay}, {"pools", poolCount}, {"records", leaseRecords}}, "taken only while a pool differs"},
		{"claims, each stream at a home of its own", Platform, Appends, []Factor{{"streams", claimStreams}, homeAppends.of("/s", 1)}, "many claims in one append; a budget for each home"},
	}
}
