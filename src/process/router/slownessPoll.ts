import type { EndpointReport } from "../../request/relay/endpointProtocol.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EndpointSlowness } from "./endpointSlowness.ts";

/** Options of a {@link SlownessPoll}. */
interface SlownessPollOptions {
    nodeId: string;
    clock: Clock;
    slowness: EndpointSlowness;
    /** Gets the other nodes that live. */
    getNodeIds(): string[];
    /** Gets the endpoints to ask. */
    getEndpoints(): RegisteredEndpoint[];
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
}

/** Each endpoint is asked once in this time, by one node. */
const pollMilliseconds = 2_500;

/** Asks endpoints how fast they are. The nodes share the endpoints among them by order, so that each has one asker. */
export class SlownessPoll {
    private readonly options: SlownessPollOptions;
    private timer: TimerHandle | undefined;

    private constructor(options: SlownessPollOptions) {
        this.options = options;
    }

    /** Creates a poll that does nothing before {@link start}. */
    static create(options: SlownessPollOptions): SlownessPoll {
        return new SlownessPoll(options);
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
        const { slowness, clock, fetchReport } = this.options;
        const report = await fetchReport(endpoint);
        if (report !== undefined) {
            slowness.note({ endpointId: endpoint.id, factor: report.slowness, age: 0 }, clock.getMonotonicTime());
        }
    }
}
