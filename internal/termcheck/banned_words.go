package termcheck

import "slices"

// ProjectChecker returns the checker with the banned words and exceptions of this repository.
func ProjectChecker() Checker {
	return Checker{Banned: slices.Concat(protocolWords, withdrawnWords), Exceptions: exceptions}
}

// protocolWords are the themed words of the protocol. They remain on the wire, in settings and in stored records, and
// therefore in struct tags, string literals and comments.
var protocolWords = []BannedWord{
	{Word: "baton", UseInstead: "fencing token"},
	{Word: "batons", UseInstead: "fencing tokens"},
	{Word: "stint", UseInstead: "incarnation"},
	{Word: "stints", UseInstead: "incarnations"},
	{Word: "tick", UseInstead: "sequence number", FieldsOnly: true},
	{Word: "shot", UseInstead: "task"},
	{Word: "shots", UseInstead: "tasks"},
	{Word: "rig", UseInstead: "machine type"},
	{Word: "rigs", UseInstead: "machine types"},
	{Word: "loaner", UseInstead: "spot"},
	{Word: "loaners", UseInstead: "spot"},
	{Word: "wind down", UseInstead: "grace period"},
	{Word: "conductor", UseInstead: "leader"},
	{Word: "checkin", UseInstead: "heartbeat"},
	{Word: "check in", UseInstead: "heartbeat"},
	{Word: "urgency", UseInstead: "priority"},
	{Word: "snapshot s", UseInstead: "checkpoint interval"},
	{Word: "flush s", UseInstead: "save time"},
	{Word: "guess s", UseInstead: "estimate"},
	{Word: "due s", UseInstead: "deadline"},
	{Word: "jobclass", UseInstead: "class"},
	{Word: "prereq", UseInstead: "dependency"},
	{Word: "prereqs", UseInstead: "dependencies"},
	{Word: "booking", UseInstead: "rental request"},
}

// withdrawnWords are metaphors and other private words of the project's earlier style.
var withdrawnWords = []BannedWord{
	{Word: "tenure", UseInstead: "election"},
	{Word: "frontier", UseInstead: "watermark"},
	{Word: "ledger", UseInstead: "records"},
	{Word: "witness", UseInstead: "observer"},
	{Word: "witnesses", UseInstead: "observers"},
	{Word: "reign", UseInstead: "leader change"},
	{Word: "reigns", UseInstead: "leader changes"},
	{Word: "oath", UseInstead: "attestation record"},
	{Word: "oaths", UseInstead: "attestation records"},
	{Word: "swore", UseInstead: "attested"},
	{Word: "shelf", UseInstead: "paged records"},
	{Word: "shelves", UseInstead: "paged records"},
	{Word: "deaf", UseInstead: "unreachable"},
	{Word: "stray", UseInstead: "duplicate attempt"},
	{Word: "strays", UseInstead: "duplicate attempts"},
	{Word: "doubt", UseInstead: "uncertain"},
	{Word: "doubts", UseInstead: "uncertain"},
	{Word: "doubtful", UseInstead: "uncertain"},
	{Word: "plant", UseInstead: "what is done, such as add attempt"},
	{Word: "planted", UseInstead: "what was done, such as added attempt"},
	{Word: "disown", UseInstead: "what is done, such as release"},
	{Word: "disowned", UseInstead: "what was done, such as released"},
	{Word: "intake", UseInstead: "API"},
	{Word: "standin", UseInstead: "simulation"},
	{Word: "stand in", UseInstead: "simulation"},
	{Word: "yard", UseInstead: "what it is, such as fake fleet"},
	{Word: "friends", UseInstead: "peers"},
	{Word: "island", UseInstead: "partitioned controllers"},
	{Word: "patience", UseInstead: "timeout"},
	{Word: "mistake", UseInstead: "mutant or injected bug"},
	{Word: "mistakes", UseInstead: "mutants or injected bugs"},
	{Word: "vouch", UseInstead: "attest"},
	{Word: "vouched", UseInstead: "attested"},
	{Word: "barred", UseInstead: "blocked or excluded"},
	{Word: "unheard", UseInstead: "without a heartbeat"},
	{Word: "mates", UseInstead: "peers"},
	{Word: "verdict", UseInstead: "status"},
	{Word: "hopeless", UseInstead: "cannot finish"},
	{Word: "obey", UseInstead: "apply commands"},
	{Word: "referral", UseInstead: "redirect"},
	{Word: "wish", UseInstead: "request"},
	{Word: "wishes", UseInstead: "requests"},
	{Word: "gapes", UseInstead: "has wide gap"},
	{Word: "duty", UseInstead: "loop"},
	{Word: "duties", UseInstead: "loops"},
	{Word: "spoil", UseInstead: "mutate"},
	{Word: "candidacies", UseInstead: "elections"},
}

// exceptions allow a banned word in packages where it is also the usual technical term.
var exceptions = []Exception{}
