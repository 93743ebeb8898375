import type { Clock } from "../clock.ts";
import type { RouterNode } from "./routerNode.ts";

/** The listener for callers, as far as a stop goes. */
interface StoppingCallers {
    /** Asks callers to use their connections no further, and goes on taking requests. */
    startClosing(): void;
    /** Takes no further connections. */
    stopListening(): void;
    /** Waits until each request has its answer. */
    waitUntilIdle(): Promise<void>;
}

/** Options of {@link stopRouter}. */
interface StopRouterOptions {
    node: RouterNode;
    callers: StoppingCallers;
    /** Longest time until the end, in milliseconds. */
    shutdownMilliseconds: number;
    clock: Clock;
}

/** The balancer takes a node out after two checks, one a second; the rest is the way of the last connection. */
const balancerMilliseconds = 2_700;

/** Stops a node so that callers lose nothing: it serves on until the balancer has taken it out, and what it has taken. */
export async function stopRouter({ node, callers, shutdownMilliseconds, clock }: StopRouterOptions): Promise<void> {
    const sleep = (milliseconds: number) => new Promise<void>(resolve => clock.setTimer(milliseconds, resolve));
    const deadline = sleep(shutdownMilliseconds);
    callers.startClosing();
    void node.startDraining();
    await sleep(balancerMilliseconds);
    callers.stopListening();
    await Promise.race([callers.waitUntilIdle(), deadline]);
    await Promise.race([node.stop(), deadline]);
}
