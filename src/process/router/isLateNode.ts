/** A node whose event loop is later than this, in milliseconds, couldn't order placements within half a second. */
const lateMilliseconds = 250;

/** Checks if a node runs late by the lag of its event loop in milliseconds. */
export function isLateNode(lagMilliseconds: number): boolean {
    return lagMilliseconds > lateMilliseconds;
}
