/**
 * Maximum number of nodes for a full mesh. Up to this many nodes, all pairs exchange state in each round under load, and each
 * node makes the calls of half its pairs. With two partners per round, two nodes of different data centres would exchange
 * state only every two seconds, and nodes would send requests to full endpoints because of stale loads.
 */
export const maximumFullMeshNodes = 13;
