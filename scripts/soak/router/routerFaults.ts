import type { FaultTimeline, InjectedFault } from "../faultTimeline.ts";
import type { CallRecord } from "./callRecord.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";

/** Planned operations at nodes, changes of the configuration and bursts of requests, which must not interrupt requests. */
const stops = ["nodeStop", "nodeStopInBurst", "nodeStopBesideLongStreams"];
const plannedOperations = [...stops, "nodeReload", "configurationChange", "burst"];
const harmlessKinds: readonly string[] = Object.values(harmlessFaultKinds);
/** Time after a fault from which invariants with a time limit hold again. */
const settleMilliseconds = 4_000;

/** Tells which of the injected faults overlap a request. Times are wall-clock times in milliseconds. */
export class RouterFaults {
    static readonly settleMilliseconds = settleMilliseconds;
    private readonly timeline: FaultTimeline;

    private constructor(timeline: FaultTimeline) {
        this.timeline = timeline;
    }

    /** Creates a view of a timeline. */
    static create(timeline: FaultTimeline): RouterFaults {
        return new RouterFaults(timeline);
    }

    /** Gets the faults of a kind. */
    getOfKind(name: string): InjectedFault[] {
        return this.timeline.getOfKind(name);
    }

    /** Gets if no faults other than planned stops and reloads of nodes overlap the request. */
    hasOnlyPlannedOperations({ sentAt, endedAt }: CallRecord): boolean {
        const faults = this.timeline.getDuring(sentAt - settleMilliseconds, endedAt);
        return faults.every(({ kind }) => plannedOperations.includes(kind));
    }

    /** Gets if a fault of the node overlaps the request or has not settled before it. */
    hasNodeFault({ node, sentAt, endedAt }: CallRecord): boolean {
        return this.hasFault(["node"], sentAt - settleMilliseconds, endedAt, node);
    }

    /** Gets if a fault of the endpoint with an id overlaps a time span. */
    hasEndpointFault(endpointId: string, from: number, to: number): boolean {
        const faults = this.timeline.getDuring(from, to);
        return faults.some(({ kind, target }) => kind.startsWith("endpoint") && endpointId.startsWith(`${target}-`));
    }

    /** Gets if a fault of a kind and target overlaps a time span. */
    hasFaultAt(kind: string, target: string, from: number, to: number): boolean {
        return this.timeline.hasDuring([kind], from, to, target);
    }

    /** Gets if a fault of an endpoint, other than those that end no request, overlaps a time span. */
    hasOtherEndpointFault(name: string, from: number, to: number): boolean {
        return this.timeline.getDuring(from, to).some(({ kind, target }) =>
            kind.startsWith("endpoint") && !harmlessKinds.includes(kind) && target === name
        );
    }

    /** Gets if a fault of the node or the store, whose kind starts with one of the prefixes, overlaps a time span. */
    hasFault(
        prefixes: readonly string[],
        from: number,
        to: number,
        node: string,
        ignoredKinds: readonly string[] = [],
    ): boolean {
        return this.timeline.getDuring(from, to).some(({ kind, target }) =>
            !ignoredKinds.includes(kind) && prefixes.some(prefix => kind.startsWith(prefix))
            && (target === node || target === "store")
        );
    }
}
