import type { EndpointEnds } from "./endpoints/endpointEnds.ts";
import type { PossibleRun } from "./possibleRun.ts";

/**
 * The endpoints that may run or have run a request, of which its route allows a number. An endpoint counts until it is proven that
 * its process has ended: one that is only silent, unlisted, leaving or unreachable may go on running the request.
 */
export class PossibleRuns {
    private readonly ends: Pick<EndpointEnds, "hasEnded">;
    private readonly maximumEndpoints: number;
    private readonly runs = new Set<PossibleRun>();

    private constructor(ends: Pick<EndpointEnds, "hasEnded">, maximumEndpoints: number) {
        this.ends = ends;
        this.maximumEndpoints = maximumEndpoints;
    }

    /**
     * Creates the record of a request that was not sent yet.
     * @param ends - Proofs that endpoints have ended.
     * @param maximumEndpoints - Maximum number of endpoints by the request's route.
     */
    static create(ends: Pick<EndpointEnds, "hasEnded">, maximumEndpoints: number): PossibleRuns {
        return new PossibleRuns(ends, maximumEndpoints);
    }

    /** Adds a run when its attempt begins. It counts from the moment at which bytes of the request are sent. */
    add(run: PossibleRun): void {
        this.runs.add(run);
    }

    /** Removes a run of which it is certain that the endpoint has not begun it. */
    remove(run: PossibleRun): void {
        this.runs.delete(run);
    }

    /** Gets the only endpoints that may receive the request again; undefined if others may receive it too. */
    getOnlyAllowedIds(): ReadonlySet<string> | undefined {
        if (this.runs.size < this.maximumEndpoints) {
            return undefined;
        }
        const ids = this.getIds(false);
        return ids.size < this.maximumEndpoints ? undefined : ids;
    }

    /** Checks if the request may be run once more. Unlike endpoints, all its runs count that haven't ended, also those at the same endpoint. */
    isAnotherRunAllowed(): boolean {
        const counted = [...this.runs].filter(run => run.getSentTime() !== undefined && !this.ends.hasEnded(run));
        return counted.length < this.maximumEndpoints;
    }

    /** Describes for the log which endpoints count, and which have ended since they received the request. */
    describe(): { countedRuns: string; endedRuns: string; } {
        return { countedRuns: [...this.getIds(false)].join(","), endedRuns: [...this.getIds(true)].join(",") };
    }

    private getIds(haveEnded: boolean): ReadonlySet<string> {
        const sent = [...this.runs].filter(run => run.getSentTime() !== undefined);
        return new Set(sent.filter(run => this.ends.hasEnded(run) === haveEnded).map(({ endpoint }) => endpoint.id));
    }
}
