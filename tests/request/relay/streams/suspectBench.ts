import type { UpstreamListener } from "../../../../src/connection/upstream/upstreamListener.ts";
import { StallDetector } from "../../../../src/request/relay/detection/stallDetector.ts";
import type { EndpointReport } from "../../../../src/request/relay/endpoints/endpointReport.ts";
import type { RegisteredEndpoint } from "../../../../src/request/relay/endpoints/registeredEndpoint.ts";
import type { RerouteOutcome } from "../../../../src/request/relay/endpoints/rerouteOutcome.ts";
import { StreamRelay } from "../../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { relayModel } from "../relayModel.ts";

const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
/** Half of the layers fit on one endpoint. */
const model = { ...relayModel, kinds };
const dueAt = 20_000;

/** What a test of streams on suspect endpoints starts with. */
interface SuspectBenchOptions {
    endpoints: RegisteredEndpoint[];
    isResumable: boolean;
    maximumAttempts?: number;
    fetchReport?(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    reroute?(): Promise<RerouteOutcome>;
}

/** A stream that was sent to its first stage, with the detector that watches it. */
export class SuspectBench {
    readonly bench: RelayBench;
    readonly relay: StreamRelay;
    readonly detector: StallDetector;

    private constructor({ endpoints, isResumable, maximumAttempts = 2, fetchReport, reroute }: SuspectBenchOptions) {
        this.bench = RelayBench.create(endpoints);
        const { environment, clock } = this.bench;
        environment.retryBudget.observeRequest();
        this.detector = StallDetector.create({
            environment,
            clock,
            fetchReport: fetchReport ?? (() => Promise.resolve(undefined)),
            reroute: reroute ?? (() => Promise.resolve({ isDone: false, faultyAddress: undefined })),
        });
        const task = this.bench.createTask(RequestKind.Stream, isResumable);
        const sent = { ...task, dueAt, route: { ...task.route, maximumAttempts } };
        this.relay = StreamRelay.create(environment, sent, model, () => this.detector.remove(this.relay));
        this.detector.add(this.relay);
        this.relay.start();
        this.markSent();
    }

    /** Sends a stream to the best of some endpoints. */
    static create(options: SuspectBenchOptions): SuspectBench {
        return new SuspectBench(options);
    }

    /** Sends another stream of the node, which begins after some time. */
    startAnother(delayMilliseconds: number): void {
        const { environment, clock } = this.bench;
        const task = { ...this.bench.createTask(RequestKind.Stream), dueAt };
        const other = StreamRelay.create(environment, task, model, () => this.detector.remove(other));
        this.detector.add(other);
        other.start();
        this.getLast().sentAt = clock.getMonotonicTime();
        const { listener } = this.getLast();
        clock.setTimer(delayMilliseconds, () => {
            listener.onHead(200, { "request-id": "request", "response-seal": "s" });
            listener.onData(Buffer.from("id: 1\ndata: x\n\n"));
        });
    }

    /** Gets the last request that was passed to a connection. */
    getLast() {
        return this.bench.sentRequests.at(-1)!;
    }

    /** Records that the first byte of the last request was sent. Returns the id of its first stage. */
    markSent(): string {
        this.getLast().sentAt = this.bench.clock.getMonotonicTime();
        return this.getFirstId();
    }

    /** Gets the id of the first stage in use. */
    getFirstId(): string {
        return this.relay.attempts.getStages()![0]!.endpoint.id;
    }

    /** Begins the answer to the last request. */
    begin(): void {
        this.getListener().onHead(200, { "request-id": "request", "response-seal": "s" });
        this.sendEvent(1);
    }

    /** Sends an event of the answer to the last request. */
    sendEvent(id: number): void {
        this.getListener().onData(Buffer.from(`id: ${id}\ndata: x\n\n`));
    }

    /** Suspects the first stage, as the detector does. */
    suspectFirst(): void {
        const first = this.getFirstId();
        this.bench.environment.health.markUnavailable(first, this.bench.clock.getMonotonicTime());
        this.relay.moves.hedge([first], "the first stage does not answer.");
    }

    private getListener(): UpstreamListener {
        return this.getLast().listener;
    }
}
