import type { Clock } from "../../src/process/clock.ts";
import type { EngineSpeed } from "./engineSpeed.ts";

/** A pass that waits at a stand-in engine. */
export interface WaitingPass {
    positions: number;
    layerStart: number;
    layerEnd: number;
    finish: (queue: number) => void;
}

/** Number of batches of waiting passes that a step considers. Later passes wait even if they would fit. */
const consideredBatches = 2;

/**
 * An engine with continuous batching: a step runs the layers that waiting passes need and processes the waiting
 * positions together, up to the batch limit in each layer.
 */
export class EngineStandin {
    readonly speed: EngineSpeed;
    /** Number of layers that the engine holds. */
    private readonly layers: number;
    /** Number of sequences that hold memory, counted by the load driver. */
    sequences = 0;
    private readonly clock: Clock;
    private waiting: WaitingPass[] = [];
    private isStepping = false;
    /** Number of positions of the current step in each layer. */
    private readonly occupied = new Int32Array(32);

    private constructor(clock: Clock, speed: EngineSpeed, layers: number) {
        this.layers = layers;
        this.clock = clock;
        this.speed = speed;
    }

    /** Creates an idle engine that holds the given number of layers. */
    static create(clock: Clock, speed: EngineSpeed, layers: number): EngineStandin {
        return new EngineStandin(clock, speed, layers);
    }

    /** Number of waiting passes. */
    get queue(): number {
        return this.waiting.length;
    }

    /** Gets the throughput with full batches in all layers, in positions times layers per second. */
    getRate(): number {
        const work = this.speed.batchPositions * this.layers;
        return work * 1_000 / this.getStepTime(this.layers, work);
    }

    /** Queues a pass; it runs in one of the next steps. */
    addPass(pass: WaitingPass): void {
        this.waiting.push(pass);
        if (!this.isStepping) {
            this.isStepping = true;
            this.step();
        }
    }

    private getStepTime(layers: number, work: number): number {
        const { baseMilliseconds, perLayerMilliseconds, perWorkMilliseconds } = this.speed;
        return baseMilliseconds + perLayerMilliseconds * layers + perWorkMilliseconds * work;
    }

    /**
     * Runs one step with the oldest passes that fit. At first, a pass gets at most a quarter of the batch, so that a
     * long prompt doesn't fill it.
     */
    private step(): void {
        const { batchPositions } = this.speed;
        this.occupied.fill(0);
        const considered = this.waiting.slice(0, consideredBatches * batchPositions);
        let work = 0;
        const largestWork = batchPositions * this.layers;
        for (const limit of [Math.ceil(batchPositions / 4), batchPositions]) {
            for (const pass of considered) {
                if (work === largestWork) {
                    break;
                }
                work += this.addToStep(pass, limit) * (pass.layerEnd - pass.layerStart);
            }
        }
        let layers = 0;
        for (const positions of this.occupied) {
            layers += positions > 0 ? 1 : 0;
        }
        this.clock.setTimer(this.getStepTime(layers, work), () => this.finishStep(considered));
    }

    /** Adds as many positions of a pass to the step as its fullest layer allows, and returns their number. */
    private addToStep(pass: WaitingPass, limit: number): number {
        let positions = Math.min(limit, pass.positions);
        if (positions === 0) {
            return 0;
        }
        for (let layer = pass.layerStart; layer < pass.layerEnd && positions > 0; layer++) {
            positions = Math.min(positions, this.speed.batchPositions - (this.occupied[layer] ?? 0));
        }
        for (let layer = pass.layerStart; layer < pass.layerEnd; layer++) {
            this.occupied[layer] = (this.occupied[layer] ?? 0) + positions;
        }
        pass.positions -= positions;
        return positions;
    }

    private finishStep(batch: readonly WaitingPass[]): void {
        const finished = batch.filter(pass => pass.positions === 0);
        this.waiting.splice(0, batch.length, ...batch.filter(pass => pass.positions > 0));
        if (this.waiting.length > 0) {
            this.step();
        }
        else {
            this.isStepping = false;
        }
        for (const pass of finished) {
            pass.finish(this.waiting.length);
        }
    }
}
