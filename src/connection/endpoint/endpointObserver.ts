import type { Clock, TimerHandle } from "../../process/clock.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { EndpointDirectory } from "./endpointDirectory.ts";
import type { EndpointReport } from "./endpointReports.ts";
import type { EngineStatus } from "./engineProtocol.ts";

/** Options of an {@link EndpointObserver}. */
interface EndpointObserverOptions {
    nodeId: string;
    directory: EndpointDirectory;
    clock: Clock;
    random: RandomSource;
    /** Mean time between two readings of one endpoint, in milliseconds. */
    intervalMilliseconds: number;
    /** Gets by how much rare work is stretched, so that its sum over all nodes stays the same; 1 for few nodes. */
    getStretch(): number;
    /** Tells whether this node is one of those that observe an endpoint. */
    isObserver(endpoint: string): boolean;
    /** Takes each reading of an engine. */
    onStatus(endpoint: string, status: EngineStatus): void;
    /** Takes a report that differs enough from the last one to be told to the other nodes. */
    onReport(report: EndpointReport): void;
}

/** What was last told of an endpoint. */
interface ToldReport {
    report: EndpointReport;
    toldAt: number;
}

const jitter = 0.2;
/** An unchanged report is told again after this time, times the stretch. */
const refreshMilliseconds = 5_000;
/** A queue that changed by less than this share and few passes is not told. */
const queueChangeShare = 0.25;
const queueChangePasses = 4;

/** Reads the status of those engines that this node observes, in turn, and reports what has changed. */
export class EndpointObserver {
    private readonly options: EndpointObserverOptions;
    private readonly told = new Map<string, ToldReport>();
    private readonly pending = new Set<string>();
    private timer: TimerHandle | undefined;
    private isStopped = false;
    private round = 0;

    private constructor(options: EndpointObserverOptions) {
        this.options = options;
    }

    /** Creates an observer that does nothing before {@link EndpointObserver.start}. */
    static create(options: EndpointObserverOptions): EndpointObserver {
        return new EndpointObserver(options);
    }

    /** Starts the rounds with one at once. */
    start(): void {
        if (this.isStopped) {
            return;
        }
        // An engine that only this node finds unreachable is asked by this node, too.
        const isUnreachableRound = this.round % Math.ceil(this.options.getStretch()) === 0;
        this.round += 1;
        for (const endpoint of this.options.directory.getNames("engine")) {
            const isUnreachable = this.options.directory.getState(endpoint)?.state === "unreachable";
            if (this.options.isObserver(endpoint) || isUnreachable && isUnreachableRound) {
                void this.observe(endpoint);
            }
        }
        for (const endpoint of this.options.directory.getNames("document")) {
            if (this.options.directory.getState(endpoint)?.state === "unreachable") {
                void this.observeDocument(endpoint);
            }
        }
        const { intervalMilliseconds, random, clock } = this.options;
        const delayMilliseconds = intervalMilliseconds * (1 + jitter * (2 * random() - 1));
        this.timer = clock.setTimer(delayMilliseconds, () => this.start());
    }

    /** Stops the rounds. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    private async observe(endpoint: string): Promise<void> {
        const engine = this.options.directory.getEngine(endpoint);
        if (engine === undefined || this.pending.has(endpoint)) {
            return;
        }
        this.pending.add(endpoint);
        const status = await engine.getStatus();
        this.pending.delete(endpoint);
        if (this.isStopped) {
            return;
        }
        if (status.ok) {
            this.options.directory.observeStatus(endpoint, status.val);
            this.options.onStatus(endpoint, status.val);
            this.tell(this.createReport(endpoint, status.val));
            return;
        }
        if (!await engine.isAnswering()) {
            this.options.directory.observeUnreachable(endpoint);
            this.tell(this.createReport(endpoint, undefined));
        }
    }

    /** A document endpoint that has failed is tried until it takes connections again. */
    private async observeDocument(endpoint: string): Promise<void> {
        const document = this.options.directory.getDocument(endpoint);
        if (document === undefined || this.pending.has(endpoint)) {
            return;
        }
        this.pending.add(endpoint);
        const isAnswering = await document.isAnswering();
        this.pending.delete(endpoint);
        if (isAnswering && !this.isStopped) {
            this.options.directory.observeAnswer(endpoint);
        }
    }

    private createReport(endpoint: string, status: EngineStatus | undefined): EndpointReport {
        const servingState = status?.leaving === true ? "leaving" : "serving";
        return {
            endpoint,
            observer: this.options.nodeId,
            sequence: BigInt(Math.round(this.options.clock.getWallTime())),
            state: status === undefined ? "unreachable" : servingState,
            queueDepth: Math.round(status?.queue ?? 0),
            freeTokens: Math.max(0, Math.round(status?.freePositions ?? 0)),
            sequences: Math.round(status?.sequences ?? 0),
            layers: status?.layers.map(range => ({ ...range })) ?? [],
        };
    }

    private tell(report: EndpointReport): void {
        const now = this.options.clock.getMonotonicTime();
        const last = this.told.get(report.endpoint);
        if (
            last !== undefined && now - last.toldAt < refreshMilliseconds * this.options.getStretch()
            && !hasChanged(last.report, report)
        ) {
            return;
        }
        this.told.set(report.endpoint, { report, toldAt: now });
        this.options.onReport(report);
    }
}

function hasChanged(before: EndpointReport, after: EndpointReport): boolean {
    if (before.state !== after.state || JSON.stringify(before.layers) !== JSON.stringify(after.layers)) {
        return true;
    }
    const queueBefore = before.queueDepth ?? 0;
    const change = Math.abs(queueBefore - (after.queueDepth ?? 0));
    return change > queueChangePasses && change > queueChangeShare * queueBefore;
}
