import type { EndpointInstructions } from "../../connection/instructions/endpointInstructions.ts";
import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { RetryBudget } from "../admission/retryBudget.ts";
import type { RetryDetector } from "../admission/start/retryDetector.ts";
import type { StreamRetries } from "../admission/streamRetries.ts";
import type { RefusalDetector } from "./detection/refusalDetector.ts";
import type { EndpointProtocol } from "./endpointProtocol.ts";
import type { EndpointEnds } from "./endpoints/endpointEnds.ts";
import type { EndpointHealth } from "./endpoints/endpointHealth.ts";
import type { EndpointLoads } from "./endpoints/endpointLoads.ts";
import type { FirstEventTimes } from "./endpoints/firstEventTimes.ts";
import type { RelayDirectory } from "./endpoints/relayDirectory.ts";
import type { EndpointLimits } from "./limits/endpointLimits.ts";
import type { LinkAdmission } from "./links/linkAdmission.ts";
import type { LinkDelays } from "./links/linkDelays.ts";
import type { LinkTraffic } from "./links/linkTraffic.ts";
import type { NodeConditions } from "./nodeConditions.ts";
import type { RequestQuarantine } from "./quarantine/requestQuarantine.ts";
import type { RelayQueue } from "./queue/relayQueue.ts";
import type { RelayTransport } from "./relayTransport.ts";
import type { AnswerTimes } from "./stop/answerTimes.ts";
import type { NodeStop } from "./stop/nodeStop.ts";

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
    ends: EndpointEnds;
    refusalDetector: Pick<RefusalDetector, "check">;
    /** Rate limits that endpoints set for all nodes together. */
    limits: EndpointLimits;
    /** What endpoints have told this node to send or not to send them. */
    instructions: EndpointInstructions;
    retryBudget: RetryBudget;
    /** Divides the retry budget between streams that have begun and other requests. */
    streamRetries: StreamRetries;
    quarantine: RequestQuarantine;
    queue: RelayQueue;
    firstEvents: FirstEventTimes;
    retryDetector: RetryDetector;
    linkDelays: LinkDelays;
    /** Traffic between data centres caused by this node's requests. */
    linkTraffic: LinkTraffic;
    links: LinkAdmission;
    answerTimes: AnswerTimes;
    /** The stop of this node. */
    stop: NodeStop;
    /** Gets the number of live nodes, including this one. */
    getNodeCount(): number;
    /** Gets the number of nodes that are alive now, including this one. {@link getNodeCount} may be the highest of the last seconds. */
    getLiveNodeCount(): number;
    /** Gets the conditions of this node, for the log. */
    getConditions(): NodeConditions;
}
