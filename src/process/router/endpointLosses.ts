import { create } from "@bufbuild/protobuf";
import { EndpointLossRecordSchema, type NodeState } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { EndpointLossDetector } from "../placement/endpointLossDetector.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { PeerStatePart } from "./peerStatePart.ts";

/** Options of {@link EndpointLosses}. */
interface EndpointLossesOptions {
    clock: Clock;
    log: EventLog;
    nodes: Pick<NodeTable, "getLiveNodes">;
    /** Gets the monotonic time in milliseconds at which this node last got an answer or an event from an endpoint. */
    getAliveTime(endpointId: string): number;
    /** Gets the fraction of the endpoints that this node can't connect to, 0 to 1. */
    getUnreachableFraction(): number;
    /** Called with the number of lost endpoints when it has changed. */
    onChange(lostCount: number): void;
    /** Called when peers should learn of new evidence at once. */
    onEvidence(): void;
}

/** Time between two reviews while there is evidence. */
const reviewMilliseconds = 100;
/** A node that can't connect to this fraction of the endpoints or more has lost its own links. */
const lostLinksFraction = 0.5;

/** The endpoints that this node and its peers have evidence of being lost, and their exchange between nodes. */
export class EndpointLosses implements PeerStatePart {
    private readonly options: EndpointLossesOptions;
    private readonly detector: EndpointLossDetector;
    private timer: TimerHandle | undefined;
    private lostCount = 0;

    private constructor(options: EndpointLossesOptions) {
        this.options = options;
        this.detector = EndpointLossDetector.create(endpointId => options.getAliveTime(endpointId));
    }

    /** Creates an instance without evidence. */
    static create(options: EndpointLossesOptions): EndpointLosses {
        return new EndpointLosses(options);
    }

    /** Records that this node couldn't connect to an endpoint, got no answer, or had it named as the stage that stalls. */
    addEvidence(endpointId: string): void {
        if (this.isReliable()) {
            const isNew = this.detector.addEvidence(endpointId, this.options.clock.getMonotonicTime());
            this.review();
            if (isNew) {
                this.options.onEvidence();
            }
        }
    }

    /** Records an answer of an endpoint to another call than a caller's request. */
    addResponse(endpointId: string): void {
        this.detector.addResponse(endpointId, this.options.clock.getMonotonicTime());
    }

    /** See {@link EndpointLossDetector.getLostEndpoints}. */
    getLostEndpoints(endpointIds: readonly string[]): ReadonlySet<string> {
        return this.detector.getLostEndpoints(endpointIds);
    }

    /** See {@link EndpointLossDetector.listFound}. */
    listFound(now: number) {
        return this.detector.listFound(now);
    }

    /** Removes endpoints that are no longer registered. */
    retain(endpointIds: ReadonlySet<string>): void {
        this.detector.retain(endpointIds);
        this.review();
    }

    /** Creates the records of this node's own evidence. */
    createRecords(now: number) {
        const evidence = this.isReliable() ? this.detector.listOwnEvidence(now) : [];
        return {
            endpointLosses: evidence.map(({ endpointId, age }) =>
                create(EndpointLossRecordSchema, { endpointId, age: Math.round(age) })
            ),
        };
    }

    /** Applies a peer's evidence, and the answers that endpoints gave to its polls. */
    applyRecords({ sender, endpointLosses, readings }: NodeState, now: number): void {
        if (sender === undefined) {
            return;
        }
        for (const { endpointId, age } of readings) {
            this.detector.addResponse(endpointId, now - age);
        }
        this.detector.setPeerEvidence(sender.nodeId, endpointLosses, now);
        if (endpointLosses.length > 0) {
            this.review();
        }
    }

    private isReliable(): boolean {
        return this.options.getUnreachableFraction() < lostLinksFraction;
    }

    private review(): void {
        const { clock, nodes, log, onChange } = this.options;
        const now = clock.getMonotonicTime();
        const peers = nodes.getLiveNodes(now);
        const changes = this.detector.update({
            isReliable: this.isReliable(),
            peers: peers.length,
            reachingPeers: peers.filter(({ unreachableFraction = 0 }) =>
                unreachableFraction < lostLinksFraction
            ).length,
        }, now);
        for (const { endpointId: endpoint, isLost, reporters, oldestAge, newestAge } of changes) {
            const ages = { oldestMilliseconds: Math.round(oldestAge), newestMilliseconds: Math.round(newestAge) };
            log.write(isLost ? events.endpointLost : events.endpointLossEnded, { endpoint, reporters, ...ages });
        }
        const lostCount = this.detector.countLost();
        if (changes.length > 0 || lostCount !== this.lostCount) {
            this.lostCount = lostCount;
            onChange(lostCount);
        }
        this.timer?.cancel();
        this.timer = this.detector.hasEvidence() ? clock.setTimer(reviewMilliseconds, () => this.review()) : undefined;
    }
}
