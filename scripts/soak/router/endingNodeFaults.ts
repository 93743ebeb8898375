/** Faults of a node that end its requests or part it from the endpoints, by the prefixes of their kinds. */
export const endingNodeFaults = ["nodeKill", "nodeStopAtStart", "nodeStartAtDeletion", "nodeFreeze", "nodeLinks"];
