import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { EndpointReadings } from "./endpointReadings.ts";

/** Options of a {@link EndpointPoller}. */
interface EndpointPollerOptions {
    nodeId: string;
    clock: Clock;
    readings: EndpointReadings;
    /** Gets the memory that the requests of all nodes are expected to use at an endpoint, in tokens times layers. */
    getExpectedTokenLayers(endpointId: string): number;
    /** Gets the ids of the other live nodes. */
    getNodeIds(): string[];
    /** Gets the factor on the interval. */
    getIntervalFactor(): number;
    /** Gets the endpoints to poll. */
    getEndpoints(): RegisteredEndpoint[];
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

/** Interval at which each endpoint is polled, by one node. */
const pollIntervalMilliseconds = 2_500;

/** Unexplained use below this fraction of the memory is within the error of the expected answer lengths. */
const minimumHiddenFraction = 0.05;

/**
 * Polls endpoints for their speed and memory use. The sorted endpoints are distributed over the sorted nodes, so that one node
 * polls each endpoint.
 */
export class EndpointPoller {
    private readonly options: EndpointPollerOptions;
    private timer: TimerHandle | undefined;

    private constructor(options: EndpointPollerOptions) {
        this.options = options;
    }

    /** Creates a poller, which does nothing before {@link start}. */
    static create(options: EndpointPollerOptions): EndpointPoller {
        return new EndpointPoller(options);
    }

    /** Starts to poll this node's share of the endpoints. */
    start(): void {
        const { clock, getIntervalFactor } = this.options;
        this.timer = clock.setTimer(pollIntervalMilliseconds * getIntervalFactor(), () => {
            this.start();
            ProcessorAccount.ofProcess.runPart(ProcessorCause.EndpointPoll, () => this.pollAll());
        });
    }

    /** Stops polling. */
    stop(): void {
        this.timer?.cancel();
    }

    private pollAll(): void {
        const { nodeId, getNodeIds, getEndpoints } = this.options;
        const nodeIds = [...getNodeIds(), nodeId].sort();
        const ownIndex = nodeIds.indexOf(nodeId);
        const endpoints = getEndpoints().sort((left, right) => left.id < right.id ? -1 : 1);
        for (const [index, endpoint] of endpoints.entries()) {
            if (index % nodeIds.length === ownIndex) {
                void this.poll(endpoint);
            }
        }
    }

    private async poll(endpoint: RegisteredEndpoint): Promise<void> {
        const { readings, clock, fetchReport, getExpectedTokenLayers } = this.options;
        const report = await fetchReport(endpoint);
        if (report === undefined) {
            return;
        }
        const hidden = report.usedTokenLayers - getExpectedTokenLayers(endpoint.id);
        const hiddenTokenLayers = hidden > minimumHiddenFraction * report.totalTokenLayers ? hidden : 0;
        const reading = { endpointId: endpoint.id, factor: report.slowness, hiddenTokenLayers, age: 0 };
        readings.add(reading, clock.getMonotonicTime());
    }
}
