import type { Clock, TimerHandle } from "../../../process/clock.ts";
import { events } from "../../../process/logging/events.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import type { EndpointReport } from "../endpoints/endpointReport.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RerouteOutcome } from "../endpoints/rerouteOutcome.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { StreamRelay } from "../streams/streamRelay.ts";
import { SilenceLog } from "./silenceLog.ts";

/** Options of a {@link StallDetector}. */
interface StallDetectorOptions {
    environment: RelayEnvironment;
    clock: Clock;
    /** Fetches an endpoint's report. Returns undefined if the endpoint doesn't answer. */
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Asks the first stage to move a request to another chain. */
    reroute(requestId: string, stages: RelayStage[]): Promise<RerouteOutcome>;
}

/** Minimum interval between sweeps. It is also the interval while streams are silent. */
const sweepIntervalMilliseconds = 60;
/** A stream without events for this long, several times the usual time between events, is checked. */
const silenceMilliseconds = 240;
/** Limit for the first event, which also takes the prefill of the prompt on each stage. */
const silenceBeforeFirstEventMilliseconds = 420;
/** Maximum age of a report. Fetching it from the same endpoint again before that returns nothing new. */
const reportIntervalMilliseconds = 200;
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
    /** Monotonic time in milliseconds before which a stream's first stage isn't told again to move it. */
    private readonly rerouteAllowedAt = new WeakMap<StreamRelay, number>();
    private readonly silenceLog: SilenceLog;
    private timer: TimerHandle | undefined;

    private constructor(options: StallDetectorOptions) {
        this.options = options;
        const { clock, environment: { health, log } } = options;
        this.silenceLog = SilenceLog.create({ clock, health, log });
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
        const lost = new Set([id]);
        for (const relay of [...this.relays]) {
            if (relay.getStages()?.some(({ endpoint }) => endpoint.id === id) === true) {
                void this.reroute(relay, lost, () => relay.abandonChain([id], "a stage of the chain has restarted."));
            }
        }
    }

    private sweep(): void {
        this.timer = undefined;
        this.silenceLog.review();
        const now = this.options.clock.getMonotonicTime();
        const silentByFirstStage = new Map<string, StreamRelay[]>();
        for (const relay of this.relays) {
            const first = relay.getStages()?.[0];
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
            const silentAt = (relay.getLastProgress() ?? now) + getSilenceLimit(relay);
            delay = Math.min(delay, silentAt - now + 1);
        }
        return Math.max(sweepIntervalMilliseconds, delay);
    }

    private investigate(relays: StreamRelay[], now: number): void {
        const { endpoint } = relays[0]!.getStages()![0]!;
        if (now - (this.reportRequestedAt.get(endpoint.id) ?? -Infinity) < reportIntervalMilliseconds) {
            return;
        }
        this.reportRequestedAt.set(endpoint.id, now);
        void this.resolveStall(endpoint, relays);
    }

    private async resolveStall(first: RegisteredEndpoint, relays: StreamRelay[]): Promise<void> {
        const reporting = this.options.fetchReport(first);
        if (!await this.isSettledSoon(reporting)) {
            await Promise.all(relays.map(relay => new Promise<void>(resolve => relay.testPath(resolve))));
        }
        if (continueOverOtherPaths(relays).length === 0) {
            return;
        }
        const report = await reporting;
        const affected = continueOverOtherPaths(relays);
        const { environment, clock } = this.options;
        const now = clock.getMonotonicTime();
        const lastProgressAt = Math.max(...relays.map(relay => relay.getLastProgress() ?? now));
        environment.log.write(events.relayStalled, {
            endpoint: first.id,
            streams: relays.length,
            silentMilliseconds: Math.round(now - lastProgressAt),
            isPathLost: affected.some(relay => relay.isPathLost()),
            hasReport: report !== undefined,
            stalled: report?.stalled.length ?? 0,
            at: [...new Set(report?.stalled.map(({ address }) => address))].join(","),
        });
        if (report === undefined) {
            this.silenceLog.noteSilent(first.id, lastProgressAt);
            this.noteSilent(first.id, now);
            for (const relay of affected) {
                leaveIfFirst(relay, first.id, "the first stage does not answer.");
            }
            return;
        }
        this.silenceLog.noteHeard(first.id);
        const lost = this.recordLost(report, now);
        for (const relay of affected) {
            const isStalled = report.stalled.some(({ requestId }) => requestId === relay.task.request.id);
            const isAffected = relay.getStages()?.some(({ endpoint }) => lost.has(endpoint.id)) === true;
            if (isStalled || isAffected) {
                this.rerouteFromSuspects(relay, lost, now);
            }
            else {
                this.reviewUnexplained(relay, first, now);
            }
        }
    }

    /** Makes new requests avoid an endpoint that does not answer. The time is not extended before it has ended. */
    private noteSilent(endpointId: string, now: number): void {
        const { health } = this.options.environment;
        if (health.isSuspect(endpointId, now)) {
            health.markUnreachable(endpointId);
            return;
        }
        health.markUnavailable(endpointId, now);
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
        const dataCentres = relay.getDataCentres();
        if (!relay.hasEvents()) {
            linkDelays.recordFirstEvent(dataCentres, now - (relay.getSentAt() ?? now), now);
        }
        const isOverdue = now - (relay.getLastProgress() ?? now) > overdueMilliseconds;
        if (isOverdue && !relay.isQueuedAtLink() && this.hasProgressingStream(dataCentres.join(), now)) {
            leaveIfFirst(relay, first.id, "the chain is silent while others make progress.");
        }
    }

    private hasProgressingStream(dataCentres: string, now: number): boolean {
        for (const relay of this.relays) {
            const isProgressing = relay.hasEvents() && !isSilent(relay, now);
            if (isProgressing && relay.getDataCentres().join() === dataCentres) {
                return true;
            }
        }
        return false;
    }

    private recordLost(report: EndpointReport, now: number): Set<string> {
        const { environment } = this.options;
        const lost = new Set<string>();
        for (const { address } of report.stalled) {
            const endpoint = environment.directory.getEndpointAt(address);
            if (endpoint !== undefined && !lost.has(endpoint.id)) {
                lost.add(endpoint.id);
                this.noteSilent(endpoint.id, now);
            }
        }
        return lost;
    }

    private rerouteFromSuspects(relay: StreamRelay, suspects: Set<string>, now: number): void {
        if (now < (this.rerouteAllowedAt.get(relay) ?? -Infinity)) {
            return;
        }
        this.rerouteAllowedAt.set(relay, now + rerouteRetryMilliseconds);
        const cause = "a later stage does not answer and the stream could not be moved.";
        void this.reroute(relay, suspects, avoid => relay.leaveSuspects(avoid, cause));
    }

    /**
     * Tells the first stage of a stream to move it.
     * @param relay - The stream.
     * @param lost - Ids of the endpoints that are or may be lost.
     * @param onFailed - Called if the stream is not moved, with the ids of the endpoints to avoid.
     */
    private async reroute(
        relay: StreamRelay,
        lost: Set<string>,
        onFailed: (avoid: string[]) => void,
    ): Promise<void> {
        if (relay.isRerouting) {
            return;
        }
        relay.isRerouting = true;
        relay.noteLost(lost);
        const stages = relay.chooseReroute(lost);
        const outcome = stages === undefined
            ? undefined
            : await this.options.reroute(relay.task.request.id, stages);
        relay.isRerouting = false;
        if (stages !== undefined && outcome?.isDone === true) {
            relay.completeReroute(stages);
            return;
        }
        const faulty = this.options.environment.directory.getEndpointAt(outcome?.faultyAddress ?? "");
        onFailed(faulty === undefined ? [...lost] : [...lost, faulty.id]);
    }
}

/** Moves a stream away from a suspect first stage, unless it has another one by now. */
function leaveIfFirst(relay: StreamRelay, endpointId: string, cause: string): void {
    if (relay.getStages()?.[0]?.endpoint.id === endpointId) {
        relay.leaveSuspects([endpointId], cause);
    }
}

/** Continues the streams whose path is lost, and returns the others. */
function continueOverOtherPaths(relays: readonly StreamRelay[]): StreamRelay[] {
    return relays.filter(relay => !relay.continueIfPathLost());
}

function isSilent(relay: StreamRelay, now: number): boolean {
    return now - (relay.getLastProgress() ?? now) > getSilenceLimit(relay);
}

function getSilenceLimit(relay: StreamRelay): number {
    return relay.hasEvents() ? silenceMilliseconds : silenceBeforeFirstEventMilliseconds;
}
