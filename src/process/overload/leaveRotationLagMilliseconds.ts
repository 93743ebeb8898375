/** Lag of the event loop from which a node may leave the rotation: half of the 2 s after which callers leave a stream without events. */
export const leaveRotationLagMilliseconds = 1_000;
