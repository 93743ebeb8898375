import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Injects or reverts a fault of a target. */
export type FaultAction<Target> = (context: RouterSoakContext, target: Target) => Promise<void> | void;
