import { estimatePrefillTime } from "../../src/request/relay/chains/estimatePrefillTime.ts";
import { getMeanContext } from "../../src/request/relay/chains/getMeanContext.ts";
import { getRequestMemory } from "../../src/request/relay/chains/getRequestMemory.ts";
import type { HeldLayers } from "../../src/request/relay/endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../../src/request/relay/endpoints/registeredEndpoint.ts";
import type { AcceleratorKind } from "../../src/version/routing/acceleratorKind.ts";
import { experimentModel as model } from "./experimentModel.ts";
import type { SimulatedRun } from "./simulatedRun.ts";

/** A simulated engine with its memory, runs and speed. */
export class SimulatedEngine {
    readonly endpoint: RegisteredEndpoint;
    readonly layers: HeldLayers;
    readonly runs = new Set<SimulatedRun>();
    /** Runs that wait for memory and whose first stage is this engine. */
    readonly waiting: SimulatedRun[] = [];
    readonly totalTokenLayers: number;
    usedTokenLayers = 0;
    isLost = false;
    /** Whether it gets no new requests. */
    isLeaving = false;
    slowness = 1;
    /** Indexes of the nodes that can't reach the engine. */
    disconnectedNodes: ReadonlySet<number> = new Set();
    private readonly kind: AcceleratorKind;
    private prefillEndsAt = 0;

    private constructor(endpoint: RegisteredEndpoint, layers: HeldLayers, kind: AcceleratorKind) {
        this.endpoint = endpoint;
        this.layers = layers;
        this.kind = kind;
        this.totalTokenLayers = getRequestMemory(model, kind, layers.end - layers.start);
    }

    /** Creates an idle engine that holds a range of layers. */
    static create(endpoint: RegisteredEndpoint, layers: HeldLayers): SimulatedEngine {
        return new SimulatedEngine(endpoint, layers, model.kinds.get(endpoint.kind!)!);
    }

    /** Gets if it can run another request as the first stage. */
    hasFreeSlot(): boolean {
        return this.layers.start > 0 || this.runs.size < this.endpoint.slots;
    }

    /** Gets if there is free memory for a number of tokens. */
    hasFreeMemory(tokens: number): boolean {
        return this.usedTokenLayers + this.getTokenLayers(tokens) <= this.totalTokenLayers;
    }

    /** Gets the memory that a number of tokens takes at this engine, in tokens times layers. */
    getTokenLayers(tokens: number): number {
        return tokens * (this.layers.end - this.layers.start);
    }

    /** Gets the time to generate one event, in milliseconds. An event has one token for each step of a pass. */
    getEventMilliseconds(): number {
        const context = model.stepMillisecondsPerThousandTokens * getMeanContext(model) / 1_000;
        const step = model.stepMilliseconds + this.runs.size * (model.stepMillisecondsPerRequest + context);
        return model.stepsPerPass * step * this.kind.stepFactor * this.slowness * this.getLayerFraction();
    }

    /**
     * Prefills a prompt after the prompts that arrived before it.
     * @param tokens - Length of the prompt.
     * @param from - Time at which the prompt arrives, in milliseconds.
     * @returns Time at which the prefill ends, in milliseconds.
     */
    prefill(tokens: number, from: number): number {
        const work = {
            kind: this.kind,
            layers: this.layers.end - this.layers.start,
            requests: 0,
            slowness: this.slowness,
        };
        this.prefillEndsAt = Math.max(from, this.prefillEndsAt) + estimatePrefillTime(model, work, tokens);
        return this.prefillEndsAt;
    }

    private getLayerFraction(): number {
        return (this.layers.end - this.layers.start) / model.layers;
    }
}
