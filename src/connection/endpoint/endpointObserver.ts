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
    /** Mean time between two status reads of one endpoint. */
    intervalMilliseconds: number;
    /**
     * Gets the factor by which the intervals of infrequent work grow with the number of nodes, so that its total over
     * all nodes stays constant. It is 1 for few nodes.
     */
    getIntervalFactor(): number;
    /** Checks if this node is an observer of an endpoint. */
    isObserver(endpoint: string): boolean;
    /** Called with each status of an engine. */
    onStatus(endpoint: string, status: EngineStatus): void;
    /** Called with each report that has to be sent to the other nodes. */
    onReport(report: EndpointReport): void;
}

/** The last published report of an endpoint. */
interface PublishedReport {
    report: EndpointReport;
    publishedAt: number;
}

const jitterShare = 0.2;
/** An unchanged report is published again after this time, multiplied by the interval factor. */
const refreshMilliseconds = 5_000;
/** A change of the queue depth is published only if it exceeds both this share and this number of passes. */
const queueChangeShare = 0.25;
const queueChangePasses = 4;

/** Reads the status of the engines that this node observes at intervals, and publishes reports of changes. */
export class EndpointObserver {
    private readonly options: EndpointObserverOptions;
    private readonly published = new Map<string, PublishedReport>();
    private readonly pending = new Set<string>();
    private timer: TimerHandle | undefined;
    private isStopped = false;
    private round = 0;

    private constructor(options: EndpointObserverOptions) {
        this.options = options;
    }

    /** Creates an observer that is idle until {@link EndpointObserver.start} is called. */
    static create(options: EndpointObserverOptions): EndpointObserver {
        return new EndpointObserver(options);
    }

    /** Runs the first round immediately and schedules further ones. */
    start(): void {
        if (this.isStopped) {
            return;
        }
        this.options.directory.removeEndedInstructions();
        // An engine may be unreachable only for this node, so this node also checks those that it doesn't observe.
        const isUnreachableRound = this.round % Math.ceil(this.options.getIntervalFactor()) === 0;
        this.round += 1;
        for (const endpoint of this.options.directory.getNames("engine")) {
            if (this.options.isObserver(endpoint) || isUnreachableRound && this.needsOwnCheck(endpoint)) {
                void this.observe(endpoint);
            }
        }
        for (const endpoint of this.options.directory.getNames("document")) {
            if (this.needsOwnCheck(endpoint)) {
                void this.observeDocument(endpoint);
            }
        }
        const { intervalMilliseconds, random, clock } = this.options;
        const delayMilliseconds = intervalMilliseconds * (1 + jitterShare * (2 * random() - 1));
        this.timer = clock.setTimer(delayMilliseconds, () => this.start());
    }

    /** Stops the rounds. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Checks if this node has knowledge of an endpoint that only its own calls can end. */
    private needsOwnCheck(endpoint: string): boolean {
        const { directory } = this.options;
        return directory.getState(endpoint)?.state === "unreachable" || directory.hasAnnouncedLeaving(endpoint);
    }

    private async observe(endpoint: string): Promise<void> {
        const { directory, clock } = this.options;
        const engine = directory.getEngine(endpoint);
        const isPaused = directory.getStateForRequests(endpoint)?.state === "paused";
        if (engine === undefined || isPaused || this.pending.has(endpoint)) {
            return;
        }
        this.pending.add(endpoint);
        const requestedAt = clock.getMonotonicTime();
        const status = await engine.getStatus();
        this.pending.delete(endpoint);
        if (this.isStopped) {
            return;
        }
        if (status.ok) {
            directory.observeStatus(endpoint, status.val, requestedAt);
            this.options.onStatus(endpoint, status.val);
            this.publish(this.createReport(endpoint, status.val));
            return;
        }
        if (!await engine.isAnswering()) {
            directory.observeUnreachable(endpoint);
            this.publish(this.createReport(endpoint, undefined));
        }
    }

    /** Checks if a document endpoint that failed accepts connections again. */
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

    private publish(report: EndpointReport): void {
        const now = this.options.clock.getMonotonicTime();
        const last = this.published.get(report.endpoint);
        if (
            last !== undefined && now - last.publishedAt < refreshMilliseconds * this.options.getIntervalFactor()
            && !hasChanged(last.report, report)
        ) {
            return;
        }
        this.published.set(report.endpoint, { report, publishedAt: now });
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
