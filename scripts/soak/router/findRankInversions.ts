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
/** Share of its demand that each rank gets in any case; granted by credit at each node, so rounded up there. */
const floorFraction = 0.05;

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
        const ofLast = calls.filter(({ rank, sentAt }) => rank === last && sentAt >= from && sentAt <= to);
        const admitted = ofLast.filter(({ isAdmitted }) => isAdmitted);
        const maximumAdmitted = [...Map.groupBy(ofLast, ({ node }) => node).values()]
            .reduce((sum, { length }) => sum + Math.ceil(floorFraction * length), 0);
        if (admitted.length > maximumAdmitted) {
            inversions.push({ from, to, refused, admitted, maximumAdmitted });
        }
    }
    return inversions;
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
