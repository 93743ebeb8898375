import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { KnownNode } from "../router/knownNode.ts";
import { leaveRotationLagMilliseconds } from "./leaveRotationLagMilliseconds.ts";
import { OverloadDetector } from "./overloadDetector.ts";
import { OverloadStep } from "./overloadStep.ts";
import { RotationDecider } from "./rotationDecider.ts";

/** Options of {@link OverloadProtection}. */
interface OverloadProtectionOptions {
    nodeId: string;
    dataCentre: string;
    clock: Pick<Clock, "getMonotonicTime">;
    /** Gets the recent lag of the event loop in milliseconds. */
    getLag(): number;
    /** Gets the other live nodes. */
    getNodes(): readonly KnownNode[];
    owners: Pick<RendezvousOwners, "getOwners">;
    log: EventLog;
    metrics: Pick<Metrics, "overloadStep" | "outOfRotation" | "connectionsClosedUnreadTotal">;
}

/**
 * Factor on the intervals of exchanges with peers. With a higher one, a node would not learn in time that its copy of the store is
 * current, and would call the store itself.
 */
const exchangeIntervalFactor = 1.5;
/** Factor on the interval of polls of endpoints. With a higher one, readings would expire before the next poll. */
const pollIntervalFactor = 2;

/** Above this lag, a peer is not sent the callers of connections that this node closes. */
const maximumPeerLagMilliseconds = 250;
/** Minimum time between the log lines on closed connections. */
const logIntervalMilliseconds = 1_000;
/** Time for which the wait of connections is reported to peers as lag. */
const queueReportMilliseconds = 1_000;

/** Takes the steps by which a late node protects itself, and logs them. */
export class OverloadProtection {
    private readonly options: OverloadProtectionOptions;
    private readonly detector = OverloadDetector.create();
    private readonly decider: RotationDecider;
    private isOut = false;
    /** The last wait of new connections that was long, and when it ended. */
    private lastQueue = { milliseconds: 0, endedAt: -Infinity };
    private closedCount = 0;
    private closedLoggedAt = -Infinity;

    private constructor(options: OverloadProtectionOptions) {
        this.options = options;
        this.decider = RotationDecider.create(options.owners, options.clock.getMonotonicTime());
    }

    /** Creates the protection of a node that is on time. */
    static create(options: OverloadProtectionOptions): OverloadProtection {
        return new OverloadProtection(options);
    }

    /** Updates the steps. It is called with other regular work, so that the protection needs no wake-ups of its own. */
    review(): void {
        const { clock, getLag, log, metrics } = this.options;
        const now = clock.getMonotonicTime();
        const lag = Math.round(getLag());
        if (this.detector.update(lag, now)) {
            const step = this.detector.getLastStep();
            for (const each of Object.values(OverloadStep)) {
                metrics.overloadStep.set({ step: each }, Number(this.detector.has(each)));
            }
            log.write(events.overloadStepChanged, { step: step ?? "none", lagMilliseconds: lag });
        }
        this.reviewRotation(lag, now);
    }

    /** Gets the lag to report to peers, in milliseconds: that of the event loop, or the wait of new connections if it is longer. */
    getLag(): number {
        const { clock, getLag } = this.options;
        const { milliseconds, endedAt } = this.lastQueue;
        const queueTime = clock.getMonotonicTime() - endedAt < queueReportMilliseconds ? milliseconds : 0;
        return Math.round(Math.max(getLag(), queueTime));
    }

    /** Checks if at least half of the other nodes of the data centre are in rotation and on time. */
    canPeersTakeConnections(): boolean {
        const { dataCentre, getNodes } = this.options;
        const local = getNodes().filter(node => node.dataCentre === dataCentre);
        const free = local.filter(node =>
            node.isOutOfRotation !== true && (node.lag ?? 0) < maximumPeerLagMilliseconds
        );
        return free.length > 0 && free.length * 2 >= local.length;
    }

    /**
     * Records that no new connection waits any more.
     * @param queueMilliseconds - For how long connections waited without a break.
     * @param closed - Number of connections that were closed unread.
     */
    noteQueueEnd(queueMilliseconds: number, closed: number): void {
        const { clock, log, metrics } = this.options;
        const now = clock.getMonotonicTime();
        if (queueMilliseconds >= maximumPeerLagMilliseconds) {
            this.lastQueue = { milliseconds: queueMilliseconds, endedAt: now };
        }
        if (closed === 0) {
            return;
        }
        metrics.connectionsClosedUnreadTotal.inc(closed);
        this.closedCount += closed;
        if (now - this.closedLoggedAt >= logIntervalMilliseconds) {
            log.write(events.connectionsClosedUnread, {
                count: this.closedCount,
                queueMilliseconds: Math.round(queueMilliseconds),
            });
            this.closedCount = 0;
            this.closedLoggedAt = now;
        }
    }

    /** Gets the last step taken; undefined if the node is on time. */
    getStep(): OverloadStep | undefined {
        return this.detector.getLastStep();
    }

    /** Checks if this node has left the load balancer's rotation. */
    isOutOfRotation(): boolean {
        return this.isOut;
    }

    /** Gets the time for which requests of the lowest rank are still refused, in milliseconds; 0 if they aren't. */
    getRefusalMilliseconds(): number {
        return this.detector.getRecoveryMilliseconds(OverloadStep.RefuseLowestRank, this.getLag());
    }

    /** Gets the factor on the interval of exchanges with peers. */
    getExchangeIntervalFactor(): number {
        return this.detector.has(OverloadStep.ReduceBackground) ? exchangeIntervalFactor : 1;
    }

    /** Gets the factor on the interval of polls of endpoints. */
    getPollIntervalFactor(): number {
        return this.detector.has(OverloadStep.ReduceBackground) ? pollIntervalFactor : 1;
    }

    private reviewRotation(lag: number, now: number): void {
        const { nodeId, dataCentre, getNodes, log, metrics } = this.options;
        const isLate = this.detector.has(OverloadStep.LeaveRotation);
        const local = isLate ? getNodes().filter(node => node.dataCentre === dataCentre) : [];
        const others = local.map(node => ({
            nodeId: node.nodeId,
            isOutOrLate: node.isOutOfRotation === true || (node.lag ?? 0) >= leaveRotationLagMilliseconds,
        }));
        const isOut = this.decider.decide({ dataCentre, nodeId, isLate, others, now });
        if (isOut === this.isOut) {
            return;
        }
        this.isOut = isOut;
        metrics.outOfRotation.set(Number(isOut));
        log.write(isOut ? events.rotationLeft : events.rotationJoined, {
            lagMilliseconds: lag,
            nodes: others.length + 1,
            outOrLate: others.filter(({ isOutOrLate }) => isOutOrLate).length,
        });
    }
}
