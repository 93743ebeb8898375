import type { Clock, TimerHandle } from "../../process/clock.ts";
import { events } from "../../process/logging/events.ts";
import type { EndpointReport } from "./endpointReport.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayStage } from "./relayStage.ts";
import type { RerouteOutcome } from "./rerouteOutcome.ts";
import type { StreamRelay } from "./streamRelay.ts";

/** Options of a {@link StallWatch}. */
interface StallWatchOptions {
    environment: RelayEnvironment;
    clock: Clock;
    /** Asks an endpoint for its report; undefined where it doesn't answer. */
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Asks the first stage to move a request; the endpoint's address at fault where it doesn't. */
    reroute(requestId: string, stages: RelayStage[]): Promise<RerouteOutcome>;
}

const sweepMilliseconds = 60;
/** A stream that is silent for several times the usual time between events is looked into. */
const silentMilliseconds = 240;
/** A first event takes the reading of the prompt on each stage besides. */
const silentBeforeFirstMilliseconds = 420;
/** Reports are as old as this; asking the same endpoint again sooner brings nothing new. */
const askAgainMilliseconds = 200;
/** A stream that is silent for this long without an explanation goes on over another chain, before its caller leaves. */
const hopelessMilliseconds = 1_300;

/**
 * Finds streams that are silent and the endpoint that holds them up, by the report of their first stage, and moves them
 * to other chains before their callers leave. Streams that fall silent together share a report.
 */
export class StallWatch {
    private readonly options: StallWatchOptions;
    private readonly relays = new Set<StreamRelay>();
    private readonly askedAt = new Map<string, number>();
    private timer: TimerHandle | undefined;

    private constructor(options: StallWatchOptions) {
        this.options = options;
    }

    /** Creates a watch over no streams. */
    static create(options: StallWatchOptions): StallWatch {
        return new StallWatch(options);
    }

    /** Watches a stream until {@link remove}. */
    add(relay: StreamRelay): void {
        this.relays.add(relay);
        this.timer ??= this.options.clock.setTimer(sweepMilliseconds, () => this.sweep());
    }

    /** Ends the watch over a stream. */
    remove(relay: StreamRelay): void {
        this.relays.delete(relay);
    }

    /**
     * Moves the streams that pass through an endpoint which has started again: it knows nothing of them, and without this
     * each would be found silent only after its longest pause.
     * @param earlier - The endpoint as it was before.
     */
    loseEndpoint({ id }: RegisteredEndpoint): void {
        const lost = new Set([id]);
        for (const relay of [...this.relays]) {
            if (relay.getStages()?.some(({ endpoint }) => endpoint.id === id) === true) {
                void this.reroute(relay, lost);
            }
        }
    }

    private sweep(): void {
        this.timer = undefined;
        const now = this.options.clock.getMonotonicTime();
        const silentByFirst = new Map<string, StreamRelay[]>();
        for (const relay of this.relays) {
            const first = relay.getStages()?.[0];
            if (first === undefined || relay.isRerouting || !isSilent(relay, now)) {
                continue;
            }
            const silent = silentByFirst.get(first.endpoint.id) ?? [];
            silent.push(relay);
            silentByFirst.set(first.endpoint.id, silent);
        }
        for (const relays of silentByFirst.values()) {
            this.inquire(relays, now);
        }
        if (this.relays.size > 0) {
            this.timer = this.options.clock.setTimer(sweepMilliseconds, () => this.sweep());
        }
    }

    private inquire(relays: StreamRelay[], now: number): void {
        const { endpoint } = relays[0]!.getStages()![0]!;
        if (now - (this.askedAt.get(endpoint.id) ?? -Infinity) < askAgainMilliseconds) {
            return;
        }
        this.askedAt.set(endpoint.id, now);
        void this.resolve(endpoint, relays);
    }

    private async resolve(first: RegisteredEndpoint, relays: StreamRelay[]): Promise<void> {
        const report = await this.options.fetchReport(first);
        const { environment, clock } = this.options;
        const now = clock.getMonotonicTime();
        environment.log.write(events.relayStalled, {
            endpoint: first.id,
            streams: relays.length,
            hasReport: report !== undefined,
            stalled: report?.stalled.length ?? 0,
            at: [...new Set(report?.stalled.map(({ address }) => address))].join(","),
        });
        if (report === undefined) {
            environment.health.addLoss(first.id, now);
            for (const relay of relays) {
                this.abandon(relay, first.id, "the first stage does not answer.");
            }
            return;
        }
        const lost = this.noteLost(report, now);
        for (const relay of relays) {
            const isStalled = report.stalled.some(({ requestId }) => requestId === relay.task.request.id);
            const isTouched = relay.getStages()?.some(({ endpoint }) => lost.has(endpoint.id)) === true;
            if (isStalled || isTouched) {
                void this.reroute(relay, lost);
            }
            else {
                this.reviewSilent(relay, first, now);
            }
        }
    }

    /**
     * Looks at a silent stream that its first stage knows no cause for. Where others over the same data centres go on, it
     * is lost by itself, and another chain brings it further. Where none does, the ways are slow or full, and to send it
     * once more would add to that.
     */
    private reviewSilent(relay: StreamRelay, first: RegisteredEndpoint, now: number): void {
        const { crossings } = this.options.environment;
        const dataCentres = relay.getDataCentres();
        if (!relay.hasEvents()) {
            crossings.note(dataCentres, now - (relay.getSentAt() ?? now), now);
        }
        const isHopeless = now - (relay.getLastProgress() ?? now) > hopelessMilliseconds;
        if (isHopeless && this.hasProgress(dataCentres.join(), now)) {
            this.abandon(relay, first.id, "the chain is silent while others go on.");
        }
    }

    private hasProgress(dataCentres: string, now: number): boolean {
        for (const relay of this.relays) {
            const isAlive = relay.hasEvents() && !isSilent(relay, now);
            if (isAlive && relay.getDataCentres().join() === dataCentres) {
                return true;
            }
        }
        return false;
    }

    private noteLost(report: EndpointReport, now: number): Set<string> {
        const { environment } = this.options;
        const lost = new Set<string>();
        for (const { address } of report.stalled) {
            const endpoint = environment.directory.getEndpointAt(address);
            if (endpoint !== undefined && !lost.has(endpoint.id)) {
                lost.add(endpoint.id);
                environment.health.addLoss(endpoint.id, now);
            }
        }
        return lost;
    }

    private async reroute(relay: StreamRelay, lost: Set<string>): Promise<void> {
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
        const avoid = faulty === undefined ? [...lost] : [...lost, faulty.id];
        relay.abandonChain(avoid, "a stage is lost and the stream could not be moved.");
    }

    private abandon(relay: StreamRelay, endpointId: string, cause: string): void {
        if (relay.getStages()?.[0]?.endpoint.id === endpointId) {
            relay.abandonChain([endpointId], cause);
        }
    }
}

function isSilent(relay: StreamRelay, now: number): boolean {
    const limit = relay.hasEvents() ? silentMilliseconds : silentBeforeFirstMilliseconds;
    return now - (relay.getLastProgress() ?? now) > limit;
}
