/** A stream without events for this long, several times the usual time between events, is checked. */
export const silenceMilliseconds = 240;
