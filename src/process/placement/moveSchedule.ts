import type { LayerMove } from "./layerMove.ts";
import { MovePurpose } from "./movePurpose.ts";

/** The moves of a service at a check. */
interface ScheduledMoves {
    /** Moves to columns that the fleet or a data centre lacks, whose delay has passed. */
    due: LayerMove[];
    /** Moves for balance whose delay has passed. */
    balancing: LayerMove[];
    /** Monotonic time in milliseconds at which the next move becomes due; undefined if there is none. */
    nextDueAt: number | undefined;
    /** Whether a holder must keep the lease for a move that is not due yet. */
    isLeaseNeeded: boolean;
}

/**
 * Delay of moves that are not urgent. An endpoint that crashed often registers again without layers within this time
 * after its registration expired, and then no other endpoint needs to move.
 */
const moveDelayMilliseconds = 1_500;
/**
 * Delay of a move to a column that no endpoint holds. Losses that belong together are known within it, and an endpoint that restarts at
 * once registers within it.
 */
const urgentDelayMilliseconds = 250;

/** Delays moves of endpoints between columns. A move keeps its time when the node acquires the lease for it. */
export class MoveSchedule {
    /** Monotonic time in milliseconds since which each move is wanted, by its key, by service. */
    private readonly wantedSince = new Map<string, Map<string, number>>();

    private constructor() {}

    /** Creates an instance without moves. */
    static create(): MoveSchedule {
        return new MoveSchedule();
    }

    /**
     * Records the moves of a service that are wanted now, and forgets all others.
     * @param getDataCentre - Gets the data centre of an endpoint.
     */
    update(
        service: string,
        moves: readonly LayerMove[],
        getDataCentre: (endpointId: string) => string,
        now: number,
    ): ScheduledMoves {
        const earlier = this.wantedSince.get(service);
        const current = new Map<string, number>();
        const scheduled: ScheduledMoves = { due: [], balancing: [], nextDueAt: undefined, isLeaseNeeded: false };
        for (const move of moves) {
            const key = createKey(move, getDataCentre(move.endpointId));
            const since = earlier?.get(key) ?? now;
            current.set(key, since);
            const dueAt = since + getDelay(move);
            const isBalancing = move.purpose === MovePurpose.Balance;
            if (dueAt <= now) {
                (isBalancing ? scheduled.balancing : scheduled.due).push(move);
                continue;
            }
            scheduled.nextDueAt = Math.min(dueAt, scheduled.nextDueAt ?? Infinity);
            scheduled.isLeaseNeeded ||= !isBalancing;
        }
        this.wantedSince.set(service, current);
        return scheduled;
    }
}

/** The endpoint isn't part of the key: another one may be better suited at the next check, and the delay must not begin again. */
function createKey({ purpose, layers }: LayerMove, dataCentre: string): string {
    const place = purpose === MovePurpose.DataCentreLacks ? dataCentre : "";
    return `${purpose}/${layers.start}-${layers.end}/${place}`;
}

function getDelay({ purpose }: LayerMove): number {
    return purpose === MovePurpose.FleetLacks ? urgentDelayMilliseconds : moveDelayMilliseconds;
}
