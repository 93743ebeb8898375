import type { PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import { modelFunction } from "../model/modelFunction.ts";

/** Identifies a sequence within an engine. */
interface SequenceIdentity {
    request: string;
    attempt: number;
    model: string;
}

/** KV cache of one attempt of a request: the number of processed positions and their digest for each layer. */
export class Sequence {
    readonly identity: SequenceIdentity;
    /** Number of positions that each layer has processed. */
    readonly counts: Int32Array;
    /** Digest of the inputs of each layer. */
    readonly digests: Int32Array;
    /** Results of the completed passes, by pass key. */
    readonly results = new Map<string, PassResult>();
    /** Monotonic time of the last use, in milliseconds. */
    lastUseTime: number;

    private constructor(identity: SequenceIdentity, layers: number, now: number) {
        this.identity = identity;
        this.counts = new Int32Array(layers);
        this.digests = new Int32Array(layers).fill(modelFunction.emptyDigest);
        this.lastUseTime = now;
    }

    /**
     * Creates an empty sequence.
     * @param identity - Request, attempt and model.
     * @param layers - Total number of layers of the model.
     * @param now - Monotonic time in milliseconds.
     */
    static create(identity: SequenceIdentity, layers: number, now: number): Sequence {
        return new Sequence(identity, layers, now);
    }

    /** Gets if all layers of a range have processed exactly `position` positions. */
    isAtPosition(position: number, layerStart: number, layerEnd: number): boolean {
        for (let layer = layerStart; layer < layerEnd; layer++) {
            if (this.counts[layer] !== position) {
                return false;
            }
        }
        return true;
    }

    /** Gets the sum of the processed positions of all layers. */
    getLayerPositions(): number {
        let sum = 0;
        for (const count of this.counts) {
            sum += count;
        }
        return sum;
    }

    /**
     * Runs inputs through a range of layers.
     * @param inputs - Activations before the first layer, one per position.
     * @returns Activations after the last layer, one per position.
     */
    run(inputs: number[], layerStart: number, layerEnd: number): number[] {
        const values = inputs.slice();
        for (let layer = layerStart; layer < layerEnd; layer++) {
            let digest = this.digests[layer] ?? 0;
            for (let index = 0; index < values.length; index++) {
                const input = values[index] ?? 0;
                digest = modelFunction.addToDigest(digest, input);
                values[index] = modelFunction.getOutput(layer, input, digest);
            }
            this.digests[layer] = digest;
            this.counts[layer] = (this.counts[layer] ?? 0) + values.length;
        }
        return values;
    }
}
