import type { EndpointReport } from "../../request/relay/endpointReport.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EndpointReadings } from "./endpointReadings.ts";

/** Options of a {@link EndpointPoll}. */
interface EndpointPollOptions {
    nodeId: string;
    clock: Clock;
    readings: EndpointReadings;
    /** Gets the memory that all nodes' requests are expected to need at an endpoint, in tokens times layers. */
    getExpectedTokenLayers(endpointId: string): number;
    /** Gets the other nodes that live. */
    getNodeIds(): string[];
    /** Gets the endpoints to ask. */
    getEndpoints(): RegisteredEndpoint[];
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

/** Each endpoint is asked once in this time, by one node. */
const pollMilliseconds = 2_500;

/** Less than this part of the memory is within what the expected lengths of answers leave open. */
const leastHiddenPart = 0.05;

/** Asks endpoints how fast they are and what memory they use. The nodes share the endpoints among them by order, so that each has one asker. */
export class EndpointPoll {
    private readonly options: EndpointPollOptions;
    private timer: TimerHandle | undefined;

    private constructor(options: EndpointPollOptions) {
        this.options = options;
    }

    /** Creates a poll that does nothing before {@link start}. */
    static create(options: EndpointPollOptions): EndpointPoll {
        return new EndpointPoll(options);
    }

    /** Asks this node's endpoints from now on. */
    start(): void {
        this.timer = this.options.clock.setTimer(pollMilliseconds, () => {
            this.start();
            this.askAll();
        });
    }

    /** Asks no more. */
    stop(): void {
        this.timer?.cancel();
    }

    private askAll(): void {
        const { nodeId, getNodeIds, getEndpoints } = this.options;
        const nodeIds = [...getNodeIds(), nodeId].sort();
        const ownIndex = nodeIds.indexOf(nodeId);
        const endpoints = getEndpoints().sort((left, right) => left.id < right.id ? -1 : 1);
        for (const [index, endpoint] of endpoints.entries()) {
            if (index % nodeIds.length === ownIndex) {
                void this.ask(endpoint);
            }
        }
    }

    private async ask(endpoint: RegisteredEndpoint): Promise<void> {
        const { readings, clock, fetchReport, getExpectedTokenLayers } = this.options;
        const report = await fetchReport(endpoint);
        if (report === undefined) {
            return;
        }
        const hidden = report.usedTokenLayers - getExpectedTokenLayers(endpoint.id);
        const hiddenTokenLayers = hidden > leastHiddenPart * report.totalTokenLayers ? hidden : 0;
        const reading = { endpointId: endpoint.id, factor: report.slowness, hiddenTokenLayers, age: 0 };
        readings.note(reading, clock.getMonotonicTime());
    }
}
