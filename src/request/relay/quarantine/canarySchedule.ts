import { LRUCache } from "lru-cache";
import type { CanaryOrder } from "./canaryOrder.ts";

/** When this node may next send a canary for a part, and how long it waits after one that crashes an endpoint. */
interface CanaryTurn {
    nextAt: number;
    intervalMilliseconds: number;
}

/** Time that a canary has to be sent in, and after which the node may send another one. It doubles with each crash up to the maximum. */
const minimumIntervalMilliseconds = 1_500;
const maximumIntervalMilliseconds = 24_000;
/** Nodes take turns in slots of this length, counted from the last crash. Within one, peers learn of a canary's crash. */
const slotMilliseconds = 1_000;
/** Slots in which a single node has its turn. The number of nodes doubles after it and then with each further group of slots. */
const singleSlots = 3;
const slotsPerDoubling = 2;
/** Largest part of the nodes that may send canaries in the same slot, if that is more than two. */
const maximumNodeFraction = 1 / 8;
const minimumNodes = 2;
/** A request with several parts that are held back shows little, so it is no canary before requests with one of them had time to come. */
const sharedDelayMilliseconds = 2_000;
/** Time after which a node checks again if it has its turn. */
const reviewMilliseconds = 100;
const maximumParts = 256;

/** Decides which requests with a part that is held back are sent as canaries: one at a time at one or a few nodes, which take turns. */
export class CanarySchedule {
    private readonly getOrder: (key: string) => CanaryOrder;
    private readonly turns = new LRUCache<string, CanaryTurn>({ max: maximumParts });

    private constructor(getOrder: (key: string) => CanaryOrder) {
        this.getOrder = getOrder;
    }

    /**
     * Creates a schedule without canaries.
     * @param getOrder - Gets the place of this node in the order for a part.
     */
    static create(getOrder: (key: string) => CanaryOrder): CanarySchedule {
        return new CanarySchedule(getOrder);
    }

    /**
     * Takes the turn of this node for a request, if it has one.
     * @param keys - Keys of the request's parts that are held back.
     * @param newestCrashAt - Monotonic time in milliseconds of the last crash that is held against one of them.
     * @param now - Monotonic time in milliseconds.
     * @returns The time until which the request may be sent as a canary; undefined if it may not.
     */
    take(keys: readonly string[], newestCrashAt: number, now: number): number | undefined {
        const elapsed = Math.max(0, now - newestCrashAt);
        if (keys.length > 1 && elapsed < sharedDelayMilliseconds || keys.some(key => now < this.getTurn(key).nextAt)) {
            return undefined;
        }
        const hasTurn = isInTurn(this.getOrder(keys[0]!), Math.floor(elapsed / slotMilliseconds));
        const waitMilliseconds = hasTurn ? minimumIntervalMilliseconds : reviewMilliseconds;
        for (const key of keys) {
            const { intervalMilliseconds } = this.getTurn(key);
            const nextAt = now + (hasTurn ? intervalMilliseconds : waitMilliseconds);
            this.turns.set(key, { nextAt, intervalMilliseconds });
        }
        return hasTurn ? now + waitMilliseconds : undefined;
    }

    /** Records that a canary has crashed an endpoint. */
    noteCrash(keys: readonly string[], now: number): void {
        for (const key of keys) {
            const { intervalMilliseconds } = this.getTurn(key);
            const doubled = Math.min(maximumIntervalMilliseconds, 2 * intervalMilliseconds);
            this.turns.set(key, { nextAt: now + doubled, intervalMilliseconds: doubled });
        }
    }

    /** Forgets the canaries of a part that was cleared. */
    forget(key: string): void {
        this.turns.delete(key);
    }

    private getTurn(key: string): CanaryTurn {
        return this.turns.get(key) ?? { nextAt: -Infinity, intervalMilliseconds: minimumIntervalMilliseconds };
    }
}

/** Checks if a node has its turn in a slot. The nodes of successive slots follow each other in the order. */
function isInTurn({ rank, nodes }: CanaryOrder, slot: number): boolean {
    const maximumWidth = Math.max(minimumNodes, Math.ceil(nodes * maximumNodeFraction));
    let first = 0;
    let width = 1;
    for (let index = 0; index < slot && width < nodes; index++) {
        first += width;
        width = Math.min(maximumWidth, getWidth(index + 1));
    }
    return (rank - first % nodes + nodes) % nodes < width;
}

/** Gets the number of nodes that have their turn in a slot, if there are many nodes. */
function getWidth(slot: number): number {
    return 2 ** Math.max(0, Math.ceil((slot + 1 - singleSlots) / slotsPerDoubling));
}
