import { LRUCache } from "lru-cache";
import type { Clock, TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { EndpointReport } from "../endpoints/endpointReport.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RerouteOutcome } from "../endpoints/rerouteOutcome.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { StreamRelay } from "../streams/streamRelay.ts";
import { LateFirstEvents } from "./lateFirstEvents.ts";
import { silenceBeforeFirstEventMilliseconds } from "./silenceBeforeFirstEventMilliseconds.ts";
import { SilenceLog } from "./silenceLog.ts";
import { silenceMilliseconds } from "./silenceMilliseconds.ts";

/** Options of a {@link StallDetector}. */
interface StallDetectorOptions {
    environment: RelayEnvironment;
    clock: Clock;
    /** Fetches an endpoint's report. Returns undefined if the endpoint doesn't answer. */
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Asks the first stage to move a request to another chain. */
    reroute(requestId: string, stages: RelayStage[]): Promise<RerouteOutcome>;
    /** Checks if an endpoint refuses connections, as it does once it has crashed. Default: it never does. */
    isRefusing?(endpoint: RegisteredEndpoint): Promise<boolean>;
}

/** Minimum interval between sweeps. It is also the interval while streams are silent. */
const sweepIntervalMilliseconds = 60;
/** Maximum age of a report. Fetching it from the same endpoint again before that returns nothing new. */
const reportIntervalMilliseconds = 200;
/** Each report that is not answered doubles the interval to the next one, up to this. */
const maximumReportIntervalMilliseconds = 800;
/** Number of endpoints to remember: more than there are in the chains of the streams that run. */
const maximumRememberedEndpoints = 1_000;
/** Reports arrive within a few milliseconds. If one is overdue, the path to the endpoint may be lost. */
const usualReportMilliseconds = 60;
/** A stream that is silent for this long without a known cause is continued over another chain, before its caller gives up. */
const overdueMilliseconds = 1_300;
/** A first stage that did not move a stream when it was told to is told again after this time. */
const rerouteRetryMilliseconds = 600;

/**
 * Detects stalled streams, finds the endpoint that blocks them from the report of their first stage, and moves them to
 * other chains before their callers give up. Streams with the same first stage share a report.
 *
 * A silent endpoint is a suspect: new requests avoid it, and streams that can continue elsewhere do so at once. It may still continue, so
 * no stream is given up for it that has nowhere to go. Only an endpoint that has restarted is known to have lost its streams.
 */
export class StallDetector {
    private readonly options: StallDetectorOptions;
    private readonly relays = new Set<StreamRelay>();
    private readonly reportRequestedAt = new Map<string, number>();
    /** Number of reports in a row that a first stage has not answered, by id. */
    private readonly unansweredReports = new LRUCache<string, number>({ max: maximumRememberedEndpoints });
    /** Ids of endpoints whose process has ended, because it restarted. */
    private readonly ended = new LRUCache<string, true>({ max: maximumRememberedEndpoints });
    /** Monotonic time in milliseconds before which a stream's first stage isn't told again to move it. */
    private readonly rerouteAllowedAt = new WeakMap<StreamRelay, number>();
    private readonly silenceLog: SilenceLog;
    private readonly lateFirstEvents: LateFirstEvents;
    private timer: TimerHandle | undefined;

    private constructor(options: StallDetectorOptions) {
        this.options = options;
        const { clock, environment } = options;
        this.silenceLog = SilenceLog.create({ clock, health: environment.health, log: environment.log });
        this.lateFirstEvents = LateFirstEvents.create(environment);
    }

    /** Creates a detector without streams. */
    static create(options: StallDetectorOptions): StallDetector {
        return new StallDetector(options);
    }

    /** Monitors a stream until {@link remove} is called. */
    add(relay: StreamRelay): void {
        this.relays.add(relay);
        this.timer ??= this.options.clock.setTimer(sweepIntervalMilliseconds, () => this.sweep());
    }

    /** Stops monitoring a stream. */
    remove(relay: StreamRelay): void {
        this.relays.delete(relay);
    }

    /**
     * Moves the streams that pass through an endpoint that has restarted. It has lost their state, and each of them would
     * otherwise be detected only when it exceeds the silence limit.
     * @param endpoint - The endpoint before the restart.
     */
    handleEndpointRestart({ id }: RegisteredEndpoint): void {
        this.ended.set(id, true);
        const lost = new Set([id]);
        for (const relay of [...this.relays]) {
            relay.moves.captureRuns()(lost);
            relay.moves.abandonEarlierAttempts(id, "a stage has restarted.");
            const index = relay.attempts.getStages()?.findIndex(({ endpoint }) => endpoint.id === id) ?? -1;
            if (index === -1) {
                continue;
            }
            if (index === 0) {
                relay.moves.abandonChain([id], "the first stage has restarted.");
            }
            else {
                void this.reroute(relay, lost);
            }
        }
    }

    private sweep(): void {
        this.timer = undefined;
        this.silenceLog.review();
        const now = this.options.clock.getMonotonicTime();
        const silentByFirstStage = new Map<string, StreamRelay[]>();
        this.lateFirstEvents.review([...this.relays], now);
        for (const relay of this.relays) {
            const first = relay.attempts.getStages()?.[0];
            if (first === undefined || relay.isRerouting || !isSilent(relay, now)) {
                continue;
            }
            const silent = silentByFirstStage.get(first.endpoint.id) ?? [];
            silent.push(relay);
            silentByFirstStage.set(first.endpoint.id, silent);
        }
        for (const relays of silentByFirstStage.values()) {
            this.investigate(relays, now);
        }
        if (this.relays.size > 0) {
            this.timer = this.options.clock.setTimer(this.getSweepDelay(now), () => this.sweep());
        }
    }

    /**
     * Gets the time until a stream can be silent. A stream that progresses after now can't be silent earlier than
     * {@link silenceMilliseconds} from now. While all streams progress, sweeps are therefore several times less frequent than at a fixed
     * interval, and still detect a silent stream as early.
     */
    private getSweepDelay(now: number): number {
        let delay = silenceMilliseconds;
        for (const relay of this.relays) {
            const reviewedAt = (relay.attempts.getLastProgress() ?? now)
                + (relay.attempts.hasEvents() ? silenceMilliseconds : this.lateFirstEvents.getLimit(relay));
            delay = Math.min(delay, reviewedAt - now + 1);
        }
        return Math.max(sweepIntervalMilliseconds, delay);
    }

    private investigate(relays: StreamRelay[], now: number): void {
        const { endpoint } = relays[0]!.attempts.getStages()![0]!;
        if (now - (this.reportRequestedAt.get(endpoint.id) ?? -Infinity) < this.getReportInterval(endpoint.id)) {
            return;
        }
        this.reportRequestedAt.set(endpoint.id, now);
        void this.resolveStall(endpoint, relays);
    }

    private getReportInterval(endpointId: string): number {
        const doublings = this.unansweredReports.get(endpointId) ?? 0;
        return Math.min(maximumReportIntervalMilliseconds, reportIntervalMilliseconds * 2 ** doublings);
    }

    private async resolveStall(first: RegisteredEndpoint, relays: StreamRelay[]): Promise<void> {
        const reporting = this.options.fetchReport(first);
        if (!await this.isSettledSoon(reporting)) {
            await Promise.all(relays.map(relay => new Promise<void>(resolve => relay.attempts.testPath(resolve))));
        }
        if (continueOverOtherPaths(relays).length === 0) {
            return;
        }
        const report = await reporting;
        const waiting = continueOverOtherPaths(relays);
        const affected = waiting.filter(relay => hasFirstStage(relay, first.id));
        const { environment, clock } = this.options;
        const now = clock.getMonotonicTime();
        const lastProgressAt = Math.max(...relays.map(relay => relay.attempts.getLastProgress() ?? now));
        environment.log.write(events.relayStalled, {
            endpoint: first.id,
            streams: relays.length,
            silentMilliseconds: Math.round(now - lastProgressAt),
            isPathLost: affected.some(relay => relay.attempts.isPathLost()),
            hasReport: report !== undefined,
            stalled: report?.stalled.length ?? 0,
            at: [...new Set(report?.stalled.map(({ address }) => address))].join(","),
        });
        if (report === undefined) {
            this.silenceLog.noteSilent(first.id, lastProgressAt);
            this.unansweredReports.set(first.id, (this.unansweredReports.get(first.id) ?? 0) + 1);
            environment.health.markSilent(first.id, now);
            for (const relay of affected) {
                relay.attempts.noteWaitForEndpoint();
                hedgeIfFirst(relay, first.id, "the first stage does not answer.");
            }
            return;
        }
        this.noteHeard(first.id, now);
        const suspects = this.recordSuspects(report, now);
        this.noteCrashes(suspects, waiting);
        for (const relay of affected) {
            const isStalled = report.stalled.some(({ requestId }) => requestId === relay.task.request.id);
            const lost = this.listLost(relay, suspects);
            if (isStalled || lost.size > 0) {
                relay.attempts.noteWaitForEndpoint();
                this.retryReroute(relay, lost, now);
            }
            else {
                this.reviewUnexplained(relay, first, now);
            }
        }
    }

    /** Ends the suspicion of an endpoint that did not answer before. */
    private noteHeard(endpointId: string, now: number): void {
        this.silenceLog.noteHeard(endpointId);
        if (this.unansweredReports.delete(endpointId)) {
            this.options.environment.health.addSuccess(endpointId, now);
        }
    }

    /** Waits until a report is there or overdue. Returns whether it is there. */
    private isSettledSoon(reporting: Promise<unknown>): Promise<boolean> {
        return new Promise(resolve => {
            const timer = this.options.clock.setTimer(usualReportMilliseconds, () => resolve(false));
            void reporting.then(() => {
                timer.cancel();
                resolve(true);
            });
        });
    }

    /**
     * Reviews a silent stream for which its first stage reports no cause. If other streams over the same data centres
     * make progress, only this stream is lost, and it continues over another chain. Otherwise the links are slow or
     * congested, and sending it again would add to the congestion. A stream that may be queued at a link is left in its place.
     */
    private reviewUnexplained(relay: StreamRelay, first: RegisteredEndpoint, now: number): void {
        const { linkDelays } = this.options.environment;
        const dataCentres = relay.attempts.getDataCentres();
        if (!relay.attempts.hasEvents()) {
            linkDelays.recordFirstEvent(dataCentres, now - (relay.attempts.getSentAt() ?? now), now);
        }
        const isOverdue = now - (relay.attempts.getLastProgress() ?? now) > overdueMilliseconds;
        if (isOverdue && !relay.attempts.isQueuedAtLink() && this.hasProgressingStream(dataCentres.join(), now)) {
            hedgeIfFirst(relay, first.id, "the chain is silent while others make progress.");
        }
    }

    private hasProgressingStream(dataCentres: string, now: number): boolean {
        for (const relay of this.relays) {
            const isRead = relay.attempts.getLastProgress() !== undefined;
            const isProgressing = relay.attempts.hasEvents() && isRead && !isSilent(relay, now);
            if (isProgressing && relay.attempts.getDataCentres().join() === dataCentres) {
                return true;
            }
        }
        return false;
    }

    /** Records the endpoints that a first stage names as the ones that it waits for. */
    private recordSuspects(report: EndpointReport, now: number): Map<string, RegisteredEndpoint> {
        const { environment } = this.options;
        const suspects = new Map<string, RegisteredEndpoint>();
        for (const { address } of report.stalled) {
            const endpoint = environment.directory.getEndpointAt(address);
            if (endpoint !== undefined && !suspects.has(endpoint.id)) {
                suspects.set(endpoint.id, endpoint);
                environment.health.markSilent(endpoint.id, now);
            }
        }
        return suspects;
    }

    /** Records crashes of those suspects that refuse connections. The others may only be silent. */
    private noteCrashes(suspects: ReadonlyMap<string, RegisteredEndpoint>, relays: readonly StreamRelay[]): void {
        const runs = relays.map(relay => relay.moves.captureRuns());
        for (const [id, endpoint] of suspects) {
            void this.options.isRefusing?.(endpoint).then(isRefusing => {
                for (const noteCrashed of isRefusing ? runs : []) {
                    noteCrashed(new Set([id]));
                }
            });
        }
    }

    /** Lists the stages of a stream that are suspects or have ended. */
    private listLost(relay: StreamRelay, suspects: ReadonlyMap<string, RegisteredEndpoint>): Set<string> {
        const ids = relay.attempts.getStages()?.map(({ endpoint }) => endpoint.id) ?? [];
        return new Set(ids.filter(id => suspects.has(id) || this.ended.has(id)));
    }

    private retryReroute(relay: StreamRelay, lost: Set<string>, now: number): void {
        if (now >= (this.rerouteAllowedAt.get(relay) ?? -Infinity)) {
            void this.reroute(relay, lost);
        }
    }

    /**
     * Tells the first stage of a stream to move it. If that fails, the stream leaves the first stage too, if it can.
     * @param relay - The stream.
     * @param lost - Ids of the later stages that have ended or may be lost.
     */
    private async reroute(relay: StreamRelay, lost: Set<string>): Promise<void> {
        if (relay.isRerouting) {
            return;
        }
        const { environment, clock, reroute } = this.options;
        relay.isRerouting = true;
        this.rerouteAllowedAt.set(relay, clock.getMonotonicTime() + rerouteRetryMilliseconds);
        const attempt = relay.attempts.getCurrent();
        const stages = relay.moves.chooseReroute(lost);
        const outcome = stages === undefined ? undefined : await reroute(relay.task.request.id, stages);
        relay.isRerouting = false;
        if (attempt !== undefined && stages !== undefined && outcome?.isDone === true) {
            relay.moves.completeReroute(attempt, stages);
            return;
        }
        if (relay.attempts.getCurrent() !== attempt) {
            return;
        }
        const ended = relay.attempts.getStages()?.filter(({ endpoint }) => this.ended.has(endpoint.id)) ?? [];
        const faulty = environment.directory.getEndpointAt(outcome?.faultyAddress ?? "");
        const avoid = [
            ...lost,
            ...ended.map(({ endpoint }) => endpoint.id),
            ...faulty === undefined ? [] : [faulty.id],
        ];
        const cause = "a later stage does not answer and the stream could not be moved.";
        if (ended.length > 0) {
            relay.moves.leaveLostChain(avoid, cause);
            return;
        }
        relay.moves.hedge(avoid, cause);
    }
}

/** Sends a stream over another chain too if its first stage is a suspect, unless it has another one by now. */
function hedgeIfFirst(relay: StreamRelay, endpointId: string, cause: string): void {
    if (hasFirstStage(relay, endpointId)) {
        relay.moves.hedge([endpointId], cause);
    }
}

/** Checks if an endpoint is the first stage in use. A stream may have left it since it was asked for its report. */
function hasFirstStage(relay: StreamRelay, endpointId: string): boolean {
    return relay.attempts.getStages()?.[0]?.endpoint.id === endpointId;
}

/** Continues the streams whose path is lost, and returns the others. */
function continueOverOtherPaths(relays: readonly StreamRelay[]): StreamRelay[] {
    return relays.filter(relay => !relay.moves.continueIfPathLost());
}

function isSilent(relay: StreamRelay, now: number): boolean {
    return now - (relay.attempts.getLastProgress() ?? now) > getSilenceLimit(relay);
}

function getSilenceLimit(relay: StreamRelay): number {
    return relay.attempts.hasEvents() ? silenceMilliseconds : silenceBeforeFirstEventMilliseconds;
}
