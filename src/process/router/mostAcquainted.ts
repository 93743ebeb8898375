/**
 * Up to so many nodes, all pairs speak in each round under load, half of them at the call of either: with two partners a round two
 * nodes of different data centres spoke each two seconds only, and nodes took places at full endpoints from what they had heard.
 */
export const mostAcquainted = 13;
