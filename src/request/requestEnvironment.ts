import type { EndpointDirectory } from "../connection/endpoint/endpointDirectory.ts";
import type { Clock } from "../process/clock.ts";
import type { EventLog } from "../process/logging/eventLog.ts";
import type { Metrics } from "../process/metrics/metrics.ts";
import type { RandomSource } from "../process/randomSource.ts";
import type { Tracing } from "../process/tracing/tracing.ts";
import type { Admission } from "./admission/admission.ts";
import type { RetryBudget } from "./admission/retryBudget.ts";
import type { ChainChooser } from "./chain/chainChooser.ts";
import type { ClaimGate } from "./claimGate.ts";

/** Services of the process that requests use. */
export interface RequestEnvironment {
    dataCentre: string;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    metrics: Metrics;
    tracing: Tracing;
    admission: Admission;
    retryBudget: RetryBudget;
    chooser: ChainChooser;
    endpoints: EndpointDirectory;
    claims: ClaimGate;
    /** Gets the concurrency of a gate over all nodes, in requests; 0 if no endpoint can serve them. */
    getGateCapacity(gate: string): number;
}
