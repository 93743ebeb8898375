import type { Clock } from "../clock.ts";
import type { RouterNode } from "./routerNode.ts";

/** The parts of the listener for callers that a shutdown uses. */
interface StoppingCallers {
    /** Asks callers to stop using their connections, while still accepting requests. */
    startClosing(): void;
    /** Stops accepting connections. */
    stopListening(): void;
    /** Waits until all requests are answered. */
    waitUntilIdle(): Promise<void>;
    /** Gets the number of requests whose answers are not sent completely, and of connections that are closing. */
    getOpenCount(): number;
}

/** Options of {@link stopRouter}. */
interface StopRouterOptions {
    node: RouterNode;
    callers: StoppingCallers;
    /** Maximum duration of the shutdown, in milliseconds. */
    shutdownMilliseconds: number;
    clock: Clock;
}

/** The load balancer removes a node after two checks at one per second; the rest is for the last connection to arrive. */
const balancerRemovalMilliseconds = 2_700;
/** Time for sending the answers of the requests that are ended. */
const refusalMilliseconds = 100;

/**
 * Stops a node without losing requests: it keeps serving until the load balancer has removed it, and then completes the
 * accepted requests and those that peers send through it.
 */
export async function stopRouter({ node, callers, shutdownMilliseconds, clock }: StopRouterOptions): Promise<void> {
    const sleep = (milliseconds: number) => new Promise<void>(resolve => clock.setTimer(milliseconds, resolve));
    const deadline = sleep(shutdownMilliseconds);
    callers.startClosing();
    void node.startDraining(clock.getMonotonicTime() + shutdownMilliseconds);
    await sleep(balancerRemovalMilliseconds);
    callers.stopListening();
    await Promise.race([Promise.all([callers.waitUntilIdle(), node.waitUntilUnused()]), deadline]);
    const isIdle = callers.getOpenCount() === 0;
    const refused = node.refuseWaiting();
    const ended = node.endRequests();
    if (!isIdle) {
        await sleep(refusalMilliseconds);
        node.reportEndedRequests({ refused, ...ended, unfinished: callers.getOpenCount() });
    }
    await Promise.race([node.stop(), deadline]);
    // Connections on which nothing has come yet are still open, and what came on them meanwhile is being refused.
    await Promise.race([callers.waitUntilIdle(), deadline]);
}
