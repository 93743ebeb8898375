/**
 * Fraction of the configuration time beyond which a copy of the store that nothing has proven since may lack a change that must be in
 * force. The rest of the time is left for the call that proves it.
 */
export const maximumCopyAgeFraction = 0.75;
