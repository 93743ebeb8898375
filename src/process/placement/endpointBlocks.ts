import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import { isSameRange } from "./isSameRange.ts";

/** An endpoint that is given no order for some time. */
interface Block {
    endpoint: RegisteredEndpoint;
    /** Monotonic time in milliseconds. */
    until: number;
    /** Whether the endpoint carries out an order of which this node doesn't know. */
    isLoading: boolean;
}

/**
 * The endpoints that are given no order for some time, since they refused one or carry out another one. A block ends early if the record
 * of the endpoint shows other layers, because it has then completed an order.
 */
export class EndpointBlocks {
    private readonly blocks = new Map<string, Block>();

    private constructor() {}

    /** Creates an instance without blocks. */
    static create(): EndpointBlocks {
        return new EndpointBlocks();
    }

    /** Blocks an endpoint, as it is registered now. */
    add(endpoint: RegisteredEndpoint, until: number, isLoading: boolean): void {
        this.blocks.set(endpoint.id, { endpoint, until, isLoading });
    }

    /** Checks if an endpoint is blocked. */
    isBlocked({ id, layers }: RegisteredEndpoint, now: number): boolean {
        const block = this.blocks.get(id);
        return block !== undefined && block.until > now && isSameLayers(block.endpoint.layers, layers);
    }

    /** Counts the endpoints of a service that carry out unknown orders. */
    countLoading(service: string, now: number): number {
        return [...this.blocks.values()].filter(({ endpoint, until, isLoading }) =>
            endpoint.service === service && isLoading && until > now
        ).length;
    }

    /** Removes the blocks of a service that have ended. */
    removeEnded(service: string, endpoints: ReadonlyMap<string, RegisteredEndpoint>, now: number): void {
        for (const [id, { endpoint }] of this.blocks) {
            const current = endpoints.get(id);
            if (endpoint.service === service && (current === undefined || !this.isBlocked(current, now))) {
                this.blocks.delete(id);
            }
        }
    }

    /** Gets the monotonic times in milliseconds at which the blocks end. */
    getEndTimes(): number[] {
        return [...this.blocks.values()].map(({ until }) => until);
    }
}

function isSameLayers(left: HeldLayers | undefined, right: HeldLayers | undefined): boolean {
    return left === undefined ? right === undefined : isSameRange(right, left);
}
