import { estimatePrefill } from "../../src/request/relay/estimatePrefill.ts";
import { getMeanContext } from "../../src/request/relay/getMeanContext.ts";
import { getRequestMemory } from "../../src/request/relay/getRequestMemory.ts";
import type { HeldLayers } from "../../src/request/relay/heldLayers.ts";
import type { RegisteredEndpoint } from "../../src/request/relay/registeredEndpoint.ts";
import type { AcceleratorKind } from "../../src/version/routing/acceleratorKind.ts";
import { experimentModel as model } from "./experimentModel.ts";
import type { SimulatedRun } from "./simulatedRun.ts";

/** One endpoint of an experiment: its memory, its requests and how fast it is. */
export class SimulatedEngine {
    readonly endpoint: RegisteredEndpoint;
    readonly layers: HeldLayers;
    readonly runs = new Set<SimulatedRun>();
    /** Requests that wait for memory, of which it is the first stage. */
    readonly waiting: SimulatedRun[] = [];
    readonly totalTokenLayers: number;
    usedTokenLayers = 0;
    isLost = false;
    slowness = 1;
    /** Nodes that can't reach it. */
    cutNodes: ReadonlySet<number> = new Set();
    private readonly kind: AcceleratorKind;
    private readingUntil = 0;

    private constructor(endpoint: RegisteredEndpoint, layers: HeldLayers, kind: AcceleratorKind) {
        this.endpoint = endpoint;
        this.layers = layers;
        this.kind = kind;
        this.totalTokenLayers = getRequestMemory(model, kind, layers.end - layers.start);
    }

    /** Creates an engine that holds layers and runs nothing. */
    static create(endpoint: RegisteredEndpoint, layers: HeldLayers): SimulatedEngine {
        return new SimulatedEngine(endpoint, layers, model.kinds.get(endpoint.kind!)!);
    }

    /** Whether there is memory for so many tokens of a request. */
    hasRoom(tokens: number): boolean {
        return this.usedTokenLayers + this.getTokenLayers(tokens) <= this.totalTokenLayers;
    }

    /** Gets the memory that tokens take here, in tokens times layers. */
    getTokenLayers(tokens: number): number {
        return tokens * (this.layers.end - this.layers.start);
    }

    /** Gets the time of one event, of as many tokens as a pass has steps, in milliseconds. */
    getEventMilliseconds(): number {
        const context = model.stepMillisecondsOfThousandTokens * getMeanContext(model) / 1_000;
        const step = model.stepMilliseconds + this.runs.size * (model.stepMillisecondsOfRequest + context);
        return model.stepsOfPass * step * this.kind.stepFactor * this.slowness * this.getPart();
    }

    /**
     * Reads a prompt after those that are being read.
     * @returns When it is read, in milliseconds.
     */
    readPrompt(tokens: number, from: number): number {
        const work = {
            kind: this.kind,
            layers: this.layers.end - this.layers.start,
            requests: 0,
            slowness: this.slowness,
        };
        this.readingUntil = Math.max(from, this.readingUntil) + estimatePrefill(model, work, tokens);
        return this.readingUntil;
    }

    private getPart(): number {
        return (this.layers.end - this.layers.start) / model.layers;
    }
}
