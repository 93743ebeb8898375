/** Up to so many nodes, all talk to all and rare work is done at its full rate. */
export const unstretchedNodes = 9;
