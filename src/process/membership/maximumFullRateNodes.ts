/** Most nodes for which all nodes contact each other and periodic background work runs at its full rate. */
export const maximumFullRateNodes = 9;
