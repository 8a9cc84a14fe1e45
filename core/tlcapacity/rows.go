package tlcapacity

// Rows returns the cost of each role at the target size, in the order of docs/CAPACITY.md.
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
		{"gossip, membership", Control, Bytes, []Factor{gossipBytes.asFactor("B/s", 1)}, "a bounded set of neighbours; two short messages and a long one each heartbeat"},
		{"load poller", Control, Bytes, []Factor{engines, {"questions/s", pollsPerS}, pollBytes.asFactor("B", 1)}, "one home asks for each engine"},
		{"reconciler", Control, Bytes, []Factor{engines, {"questions/s", observationsPerS}, pollBytes.asFactor("B", 1)}, "one home observes each engine; no lease while all is as declared"},
		{"cache events", Control, Bytes, []Factor{{"prefill engines", prefillEngines}, {"questions/s", pollsPerS}, eventBytes.asFactor("B", 1)}, "with each load; only new events are sent"},
		{"sweeper", Control, Bytes, []Factor{engines, {"lists/s", sweepsPerS}, {"streams an engine", streamsPerEngine}, streamBytes.asFactor("B", 1)}, "lists an engine once a minute, and when a report or a lost owner asks for it"},
		{"instance-list reader, unchanged", Control, Bytes, []Factor{{"readings/s", 1}, sameListBytes.asFactor("B", 1)}, "the list's entity tag"},
		{"instance-list reader, changed", Control, Bytes, []Factor{{"changes/s", listChangesPerS}, list, listBytes.asFactor("B", 1)}, "the whole list at each change"},
		{"configuration applier and follower", Control, Bytes, []Factor{changes, changeBytes.asFactor("B", 1)}, "each record comes once, from a reader"},
		{"configuration: what goes with a record", Control, Bytes, []Factor{changes, forwardBytes.asFactor("B", 1)}, "the call that waits, news of the generation by gossip"},
		{"configuration reader", FewNodes, Bytes, []Factor{changes, {"followers", followers}, changeBytes.asFactor("B", 1)}, "three readers in a data centre pass records on"},
		{"busiest home: load, observation", FewNodes, Bytes, []Factor{maxPoolsPerHome.asFactor("pools", 1), engines, {"questions/s", pollsPerS + observationsPerS}, pollBytes.asFactor("B", 1)}, "rendezvous hashing, without a bound on pools"},
		{"claims home", FewNodes, Bytes, []Factor{{"readings/s", logReadsPerS}, logReadBytes.asFactor("B", 1)}, "a home reads only its own streams; 16 streams in all"},
		{"replacement", Control, Bytes, []Factor{{"new instances/s", replacementsPerS}, {"peers asked", configReaders + 1}, {"of all nodes", 1 / nodes}, stateBytes.asFactor("B", 1000)}, "a new instance asks some peers for the whole state"},
	}
}

func requestRows() []Row {
	rate := Factor{"requests/s", nodeRequestsPerS}
	ways := Factor{"ways", directions}
	return []Row{
		{"owner and home: submissions", Request, Bytes, []Factor{rate, ways, submitBytes.asFactor("B", 1)}, "one message a try"},
		{"owner and home: blocks of prompts", Request, Bytes, []Factor{rate, ways, {"blocks", promptBlocks}, blockBytes.asFactor("B", 1)}, "hashes of 256 tokens"},
		{"home: steps", Request, Bytes, []Factor{rate, ways, {"steps", stepsPerRequest}, stepBytes.asFactor("B", 1)}, "start prefill, start transfer"},
		{"owner and home of an organisation: quota", Request, Bytes, []Factor{rate, ways, quotaBytes.asFactor("B", 1)}, "one question a request, where its organisation has a quota"},
		{"owner and home of a contended service: slots", Request, Bytes, []Factor{rate, ways, slotBytes.asFactor("B", 1)}, "only while a plain service is contended; here all requests are to such services"},
		{"owner: reports", Request, Bytes, []Factor{rate, ways, {"reports", reportsPerRequest}, reportBytes.asFactor("B", 1)}, "prefill, transfer, progress every 256 tokens, end"},
	}
}

func processorRows() []Row {
	return []Row{
		{"gossip, membership, configuration", Control, Processor, []Factor{idleTime.asFactor("ms/s", 1)}, "cost levels off with the count of instances"},
		{"load poller, reconciler", Control, Processor, []Factor{{"engines", poolEngines}, {"questions/s", pollsPerS + observationsPerS}, pollTime.asFactor("ms", 1)}, "HTTP calls, kept connections"},
		{"cache events", Control, Processor, []Factor{{"prefill engines", prefillEngines}, {"questions/s", pollsPerS}, pollTime.asFactor("ms", 1)}, "HTTP calls, kept connections"},
		{"instance-list reader, unchanged", Control, Processor, []Factor{{"readings/s", 1}, sameListTime.asFactor("ms", 1)}, "the list's entity tag"},
		{"instance-list reader, changed", Control, Processor, []Factor{{"changes/s", listChangesPerS}, {"entries", listEntries}, listTime.asFactor("ms", 1)}, "the whole list at each change"},
		{"configuration applier and follower", Control, Processor, []Factor{{"changes of the configuration/s", changesPerS}, changeTime.asFactor("ms", 1)}, "a pure fold, lookups built anew"},
		{"choice of homes", Control, Processor, []Factor{{"pools", poolCount}, {"rounds/s", homeRoundsPerS}, homeTime.asFactor("ms", 1)}, "hashes only where the pool is in this data centre"},
		{"busiest home: load, observation", FewNodes, Processor, []Factor{maxPoolsPerHome.asFactor("pools", 1), {"engines", poolEngines}, {"questions/s", pollsPerS + observationsPerS}, pollTime.asFactor("ms", 1)}, "rendezvous hashing, without a bound on pools"},
		{"busiest home: plans of roles", FewNodes, Processor, []Factor{maxPoolsPerHome.asFactor("pools", 1), {"engines", poolEngines}, {"plans/s", rolePlansPerS}, rolePlanTime.asFactor("ms", millisecondsPerMicrosecond)}, "ten plans a second only until an engine of the version is ordered, two otherwise"},
		{"claims home", FewNodes, Processor, []Factor{{"claims and outcomes/s", 1000}, claimTime.asFactor("ms", millisecondsPerMicrosecond)}, "a fold by the home of the stream only"},
		{"home, scheduler", Request, Processor, []Factor{{"requests/s", nodeRequestsPerS}, requestTime.asFactor("ms", millisecondsPerMicrosecond)}, "one pool of 14 engines"},
		{"owner and home: messages", Request, Processor, []Factor{{"requests/s", nodeRequestsPerS}, {"messages", messagesPerRequest}, messageTime.asFactor("ms", 1)}, "CBOR over kept WebSockets"},
		{"owner and home of an organisation: quota", Request, Processor, []Factor{{"requests/s", nodeRequestsPerS}, quotaTime.asFactor("ms", 1)}, "a token bucket for each organisation"},
		{"entries answer", Request, Processor, []Factor{{"answers/s, one a request", nodeRequestsPerS}, rankTime.asFactor("ms", 1)}, "ranked anew from membership at each call"},
		{"owner, relay", Request, Processor, []Factor{{"tokens/s", nodeTokensPerS}, tokenTime.asFactor("ms", millisecondsPerMicrosecond)}, "each token is read and written once"},
	}
}

func memoryRows() []Row {
	return []Row{
		{"all roles, idle", Control, Memory, []Factor{idleHeap.asFactor("MB", 1)}, "bounded tables and connections"},
		{"gossip, membership: linear bound", Control, Memory, []Factor{{"further instances", nodes - 50}, peerHeap.asFactor("MB", megabytesPerKilobyte)}, "one entry for each instance; connections grow with the logarithm"},
		{"configuration", Control, Memory, []Factor{configHeap.asFactor("MB", megabytesPerMebibyte)}, "one state and its lookups, whole at every node"},
		{"instance list", Control, Memory, []Factor{{"entries", listEntries}, listHeap.asFactor("MB", micro)}, "whole at every node"},
		{"homes of organisations", FewNodes, Memory, []Factor{{"organisations, all at one node", organisations}, organisedHeap.asFactor("MB", micro)}, "a token bucket and two windows of slots each, at most 10,000"},
		{"claims home", FewNodes, Memory, []Factor{{"claims kept in a stream", retainedClaims / claimStreams}, claimHeap.asFactor("MB", micro)}, "answers are read from the log again"},
		{"owner: grants of quotas", Request, Memory, []Factor{{"requests/s", nodeRequestsPerS}, {"seconds of a window", quotaWindow}, grantHeap.asFactor("MB", micro)}, "what a new home is told; at most one entry a request"},
		{"owner, relay", Request, Memory, []Factor{{"streams", streamsPerNode}, streamHeap.asFactor("MB", megabytesPerKilobyte)}, "a connection to the engine and one to the caller"},
	}
}

func appendRows() []Row {
	return []Row{
		{"configuration applier", Platform, Appends, []Factor{{"changes/s", changesPerS}}, "one record a change"},
		{"configuration reader: snapshots", Platform, Appends, []Factor{{"snapshots/s", snapshotsPerS}}, "one chosen reader, every 10 min or 256 changes"},
		{"reconciler: leases", Platform, Appends, []Factor{{"rolls of all pools/s", rolloutsPerDay / secondsPerDay}, {"pools", poolCount}, {"records", leaseRecords}}, "taken only while a pool differs"},
		{"origins of streams", Platform, Appends, []Factor{{"appends/s of the writer", groupAppendsPerS}}, "one writer for all, at most every 250 ms"},
		{"claims, each stream at a home of its own", Platform, Appends, []Factor{{"streams", claimStreams}, homeAppends.asFactor("/s", 1)}, "many claims in one append; a budget for each home"},
	}
}
