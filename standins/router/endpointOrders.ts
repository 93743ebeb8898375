import type { LayerRange } from "./layerRange.ts";

/** Options of {@link EndpointOrders}. */
interface EndpointOrdersOptions {
    /** Layers that the endpoint holds initially. */
    layers: LayerRange | undefined;
    /** Gets a function that continues a stalled request on another chain; undefined if there is no such request. */
    takeStalled(requestId: string): (() => void) | undefined;
    /** Called when an order has changed the layers. */
    onLayersChanged(layers: LayerRange): void;
}

const acceptedStatus = 202;
const notFoundStatus = 404;
const conflictStatus = 409;
const fencedStatus = 412;

/** The orders that an endpoint stand-in received, and the layers that it holds by them. */
export class EndpointOrders {
    readonly received: Record<string, unknown>[] = [];
    private readonly options: EndpointOrdersOptions;
    private layers: LayerRange | undefined;
    private sequence = 0;
    private highestFencingNumber = 0;

    private constructor(options: EndpointOrdersOptions) {
        this.options = options;
        this.layers = options.layers;
    }

    /** Creates an instance that has received no orders. */
    static create(options: EndpointOrdersOptions): EndpointOrders {
        return new EndpointOrders(options);
    }

    /** Gets the layers that the endpoint holds. */
    getLayers(): LayerRange | undefined {
        return this.layers;
    }

    /** Gets the number of accepted orders for layers. */
    getSequence(): number {
        return this.sequence;
    }

    /**
     * Carries out an order.
     * @param answer - Answers it with a status.
     */
    execute(order: Record<string, unknown>, answer: (status: number) => void): void {
        this.received.push(order);
        if (order["operation"] === "repath") {
            const resume = this.options.takeStalled(String(order["id"]));
            answer(resume === undefined ? notFoundStatus : acceptedStatus);
            resume?.();
            return;
        }
        const fencingNumber = Number(order["fence"] ?? 0);
        if (fencingNumber < this.highestFencingNumber) {
            answer(fencedStatus);
            return;
        }
        this.highestFencingNumber = fencingNumber;
        if (order["expected"] !== undefined && order["expected"] !== this.sequence) {
            answer(conflictStatus);
            return;
        }
        this.sequence += 1;
        this.layers = { from: Number(order["from"]), to: Number(order["to"]) };
        answer(acceptedStatus);
        this.options.onLayersChanged(this.layers);
    }
}
