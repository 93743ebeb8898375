import { RelayQueue } from "../../request/relay/queue/relayQueue.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";

const secondMilliseconds = 1_000;

/** Creates the queue of requests for chains, with its decisions and waits counted in the node's metrics. */
export function createRelayQueue(
    { clock, random, log, metrics }: Pick<RouterNodeOptions, "clock" | "random" | "log" | "metrics">,
): RelayQueue {
    return RelayQueue.create({
        clock,
        random,
        log,
        onDecided: decision => metrics.startDecisionsTotal.inc({ decision }),
        onRankOutcome: (rank, outcome) => metrics.rankRequestsTotal.inc({ rank, outcome }),
        onAdmittedShare: (rank, share) => metrics.rankAdmittedShare.set({ rank }, share),
        onWaited: (milliseconds, expectedMilliseconds) => {
            metrics.startWaitSeconds.observe(milliseconds / secondMilliseconds);
            metrics.startWaitExcessSeconds.observe((milliseconds - expectedMilliseconds) / secondMilliseconds);
        },
    });
}
