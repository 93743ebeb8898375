import type { EndpointInstructions } from "../../connection/instructions/endpointInstructions.ts";
import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { RetryBudget } from "../admission/retryBudget.ts";
import type { RetryDetector } from "../admission/start/retryDetector.ts";
import type { EndpointHealth } from "./endpointHealth.ts";
import type { EndpointLoads } from "./endpointLoads.ts";
import type { EndpointProtocol } from "./endpointProtocol.ts";
import type { FirstEventTimes } from "./firstEventTimes.ts";
import type { EndpointLimits } from "./limits/endpointLimits.ts";
import type { LinkDelays } from "./linkDelays.ts";
import type { LinkPacer } from "./linkPacer.ts";
import type { LinkTraffic } from "./linkTraffic.ts";
import type { RequestQuarantine } from "./quarantine/requestQuarantine.ts";
import type { RefusalDetector } from "./refusalDetector.ts";
import type { RelayDirectory } from "./relayDirectory.ts";
import type { RelayQueue } from "./relayQueue.ts";
import type { RelayTransport } from "./relayTransport.ts";

/** Dependencies shared by all relayed requests. */
export interface RelayEnvironment {
    /** Data centre of this node. */
    dataCentre: string;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    protocol: EndpointProtocol;
    pools: RelayTransport;
    directory: RelayDirectory;
    loads: EndpointLoads;
    health: EndpointHealth;
    refusalDetector: Pick<RefusalDetector, "check">;
    /** Rate limits that endpoints set for all nodes together. */
    limits: EndpointLimits;
    /** What endpoints have told this node to send or not to send them. */
    instructions: EndpointInstructions;
    retryBudget: RetryBudget;
    quarantine: RequestQuarantine;
    queue: RelayQueue;
    firstEvents: FirstEventTimes;
    retryDetector: RetryDetector;
    linkDelays: LinkDelays;
    /** Traffic between data centres caused by this node's requests. */
    linkTraffic: LinkTraffic;
    linkPacer: LinkPacer;
    /** Gets the number of live nodes, including this one. */
    getNodeCount(): number;
}
