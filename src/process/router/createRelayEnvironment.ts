import { RetryBudget } from "../../request/admission/retryBudget.ts";
import { RetryDetector } from "../../request/admission/start/retryDetector.ts";
import { StreamRetries } from "../../request/admission/streamRetries.ts";
import { RefusalDetector } from "../../request/relay/detection/refusalDetector.ts";
import { FirstEventTimes } from "../../request/relay/endpoints/firstEventTimes.ts";
import { LinkAdmission } from "../../request/relay/links/linkAdmission.ts";
import { LinkDelays } from "../../request/relay/links/linkDelays.ts";
import { LinkTraffic } from "../../request/relay/links/linkTraffic.ts";
import type { RequestQuarantine } from "../../request/relay/quarantine/requestQuarantine.ts";
import type { RelayQueue } from "../../request/relay/queue/relayQueue.ts";
import type { RelayEnvironment } from "../../request/relay/relayEnvironment.ts";
import { AnswerTimes } from "../../request/relay/stop/answerTimes.ts";
import { NodeStop } from "../../request/relay/stop/nodeStop.ts";
import type { EndpointCalls } from "./endpointCalls.ts";
import { getRetryPolicy } from "./getRetryPolicy.ts";
import type { LiveNodes } from "./liveNodes.ts";
import type { RouterEndpoints } from "./routerEndpoints.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import type { RoutingHolder } from "./routingHolder.ts";

/** Parts of a node that relayed requests use. */
interface RelayEnvironmentOptions {
    node: Pick<RouterNodeOptions, "settings" | "clock" | "random" | "log" | "metrics" | "protocol">;
    liveNodes: LiveNodes;
    routing: RoutingHolder;
    endpoints: RouterEndpoints;
    calls: Pick<EndpointCalls, "fetchReport">;
    quarantine: RequestQuarantine;
    queue: RelayQueue;
    /** Informs the peers at once. */
    propagateUpdate(): void;
    /** Asks peers for retries. */
    askForRetries(): void;
}

/** Creates the dependencies of all relayed requests: the node's parts that they use, and what they alone share. */
export function createRelayEnvironment(options: RelayEnvironmentOptions): RelayEnvironment {
    const { node: { settings, clock, random, log, protocol }, liveNodes, routing, endpoints, calls } = options;
    const { health, loads, ends, limits, instructions } = endpoints;
    const linkDelays = LinkDelays.create();
    const retryBudget = RetryBudget.create(
        clock.getMonotonicTime(),
        () => getRetryPolicy(settings, liveNodes.getHighestCount()),
    );
    return {
        dataCentre: settings.dataCentre,
        clock,
        random,
        log,
        protocol,
        pools: endpoints.links.pools,
        directory: endpoints.registry,
        loads,
        health,
        ends,
        refusalDetector: RefusalDetector.create({
            health,
            clock,
            log,
            fetchReport: endpoint => calls.fetchReport(endpoint),
            onFound: options.propagateUpdate,
        }),
        limits,
        instructions,
        quarantine: options.quarantine,
        queue: options.queue,
        firstEvents: FirstEventTimes.create(),
        retryDetector: RetryDetector.create(),
        linkDelays,
        linkTraffic: LinkTraffic.create(),
        links: createLinkAdmission(options, linkDelays),
        answerTimes: AnswerTimes.create(),
        stop: NodeStop.create(),
        getNodeCount: () => liveNodes.getHighestCount(),
        getLiveNodeCount: () => liveNodes.getCount(),
        getConditions: () => ({
            configurationVersion: routing.getState()?.configuration.version ?? 0,
            configurationAgeMilliseconds: routing.getAge(),
            lagMilliseconds: Math.round(clock.getLag()),
        }),
        retryBudget,
        streamRetries: StreamRetries.create({ budget: retryBudget, onNeed: () => options.askForRetries() }),
    };
}

function createLinkAdmission(
    { node: { random, log, metrics }, liveNodes, queue }: RelayEnvironmentOptions,
    delays: LinkDelays,
): LinkAdmission {
    return LinkAdmission.create({
        random,
        log,
        delays,
        getDemand: () => queue.getDemand(),
        getNodeCount: () => liveNodes.getHighestCount(),
        onClosed: (link, isClosed) => metrics.linkClosed.set({ ...link }, isClosed ? 1 : 0),
    });
}
