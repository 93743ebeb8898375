import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Gets if a series of faults of a service is in progress. */
export function isServiceTaken({ timeline }: RouterSoakContext, service: string): boolean {
    return timeline.getDuring(Date.now(), Infinity).some(({ target, to }) => target === service && to === Infinity);
}
