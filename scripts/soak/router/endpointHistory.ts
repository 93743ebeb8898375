import type { ArrivalRecord } from "../../../standins/router/arrivalRecord.ts";
import type { RunRecord } from "../../../standins/router/runRecord.ts";
import type { EndpointIncarnation } from "./endpointIncarnation.ts";

/** An execution of a request, with the id of the endpoint incarnation that ran it. */
interface SoakRun extends RunRecord {
    endpointId: string;
}

/** The requests that arrived at an endpoint incarnation. */
interface SoakArrivals {
    endpointId: string;
    arrivals: readonly ArrivalRecord[];
}

/** The incarnations of an endpoint, and what they have received and run. */
export class EndpointHistory {
    private readonly incarnations: EndpointIncarnation[] = [];

    private constructor() {}

    /** Creates a history without incarnations. */
    static create(): EndpointHistory {
        return new EndpointHistory();
    }

    /** Adds an incarnation that has started. */
    add(incarnation: EndpointIncarnation): void {
        this.incarnations.push(incarnation);
    }

    /** Gets the number of incarnations. */
    getCount(): number {
        return this.incarnations.length;
    }

    /** Gets the newest incarnation. */
    getCurrent(): EndpointIncarnation {
        return this.incarnations.at(-1)!;
    }

    /** Lists the ids of the incarnations that have been replaced, or whose records were deleted. */
    listEndedIds(): string[] {
        const current = this.getCurrent();
        return this.incarnations.filter(each => each !== current || each.deletedAt !== undefined).map(({ id }) => id);
    }

    /** Gets the runs of all incarnations. */
    getRuns(): SoakRun[] {
        return this.incarnations.flatMap(({ standin, id }) => standin.runs.map(run => ({ ...run, endpointId: id })));
    }

    /** Gets if a request was sent to an incarnation of the endpoint. */
    hasReceived(requestId: string): boolean {
        return this.incarnations.some(({ standin }) => standin.receivedIds.has(requestId));
    }

    /** Gets if an incarnation started, ended, registered as draining or lost its record in a time span of wall-clock milliseconds. */
    hasChanged(from: number, to: number): boolean {
        return this.incarnations.some(({ startedAt, endedAt, leavingSince, deletedAt }) =>
            [startedAt, endedAt, leavingSince, deletedAt].some(at => at !== undefined && at >= from && at <= to)
        );
    }

    /** Gets the wall-clock time at which an incarnation ended, in milliseconds. */
    getEndedAt(endpointId: string): number | undefined {
        return this.incarnations.find(({ id }) => id === endpointId)?.endedAt;
    }

    /** Gets the arrivals at each incarnation. */
    getArrivals(): SoakArrivals[] {
        return this.incarnations.map(({ standin, id }) => ({ endpointId: id, arrivals: standin.arrivals }));
    }

    /** Gets the wall-clock time at which an incarnation registered as draining, in milliseconds. */
    getLeavingSince(endpointId: string): number | undefined {
        return this.incarnations.find(({ id }) => id === endpointId)?.leavingSince;
    }

    /** Gets the wall-clock time at which the store record of an incarnation was deleted, in milliseconds. */
    getDeletedAt(endpointId: string): number | undefined {
        return this.incarnations.find(({ id }) => id === endpointId)?.deletedAt;
    }
}
