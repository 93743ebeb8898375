/** A model request at a node without faults. Times are wall-clock times in milliseconds. */
export interface RankedCall {
    id: string;
    rank: number;
    node: string;
    sentAt: number;
    endedAt: number;
    /** Whether it was refused for lack of capacity. */
    isRefused: boolean;
    /** Whether an endpoint has run it. */
    isAdmitted: boolean;
}

/** A time in which the first rank was refused while the last rank was admitted beyond its minimum. */
interface RankInversion {
    from: number;
    to: number;
    refused: readonly RankedCall[];
    /** Requests of the last rank that were admitted once all nodes had heard of the refusals. */
    admitted: readonly RankedCall[];
    maximumAdmitted: number;
}

/** Refusals that are further apart belong to different shortages: a share is the same at every node within a second. */
const maximumGapMilliseconds = 1_000;
/** Time that nodes need to hear of each other. */
const exchangeMilliseconds = 3_000;
/** Arrivals at a node for which a rank gets one request in any case. They give credit there, so a part of them gives one too. */
const arrivalsPerFloorRequest = 20;

/** Finds the times in which the first rank was refused for longer than nodes need to hear of each other while the last was admitted. */
export function findRankInversions(calls: readonly RankedCall[]): RankInversion[] {
    const ranks = calls.map(({ rank }) => rank);
    const first = Math.min(...ranks);
    const last = Math.max(...ranks);
    const inversions: RankInversion[] = [];
    for (
        const refused of first === last
            ? []
            : groupByGap(calls.filter(call => call.rank === first && call.isRefused))
    ) {
        const from = refused[0]!.endedAt + exchangeMilliseconds;
        const to = refused.at(-1)!.endedAt;
        const ofLast = calls.filter(({ rank, sentAt }) => rank === last && sentAt <= to);
        const admitted = ofLast.filter(({ isAdmitted, sentAt }) => isAdmitted && sentAt >= from);
        const maximumAdmitted = [...Map.groupBy(ofLast, ({ node }) => node).values()]
            .reduce((sum, ofNode) => sum + getMaximumAdmitted(ofNode, from), 0);
        if (admitted.length > maximumAdmitted) {
            inversions.push({ from, to, refused, admitted, maximumAdmitted });
        }
    }
    return inversions;
}

/** Gets how many of a node's requests of the last rank its credit admits from a time on. */
function getMaximumAdmitted(calls: readonly RankedCall[], from: number): number {
    const arrivalCount = calls.filter(({ sentAt }) => sentAt >= from).length;
    const savedArrivals = getSavedArrivals(calls.filter(({ sentAt }) => sentAt < from));
    return arrivalCount === 0 ? 0 : Math.ceil((savedArrivals + arrivalCount) / arrivalsPerFloorRequest);
}

/** Gets the arrivals whose credit a node has saved up, at most those for one request. Each request that it admitted used some up. */
function getSavedArrivals(calls: readonly RankedCall[]): number {
    let saved = 0;
    for (const { isAdmitted } of calls.toSorted((left, right) => left.sentAt - right.sentAt)) {
        saved = Math.min(arrivalsPerFloorRequest, saved + 1);
        if (isAdmitted) {
            saved = Math.max(-arrivalsPerFloorRequest, saved - arrivalsPerFloorRequest);
        }
    }
    return Math.max(0, saved);
}

/** Groups refusals that follow each other without a longer gap. */
function groupByGap(refused: readonly RankedCall[]): RankedCall[][] {
    const groups: RankedCall[][] = [];
    for (const call of refused.toSorted((left, right) => left.endedAt - right.endedAt)) {
        const group = groups.at(-1);
        if (group !== undefined && call.endedAt - group.at(-1)!.endedAt <= maximumGapMilliseconds) {
            group.push(call);
        }
        else {
            groups.push([call]);
        }
    }
    return groups;
}
