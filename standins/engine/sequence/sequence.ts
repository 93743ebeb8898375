import type { PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import { modelFunction } from "../model/modelFunction.ts";

/** What identifies a sequence at an engine. */
interface SequenceIdentity {
    request: string;
    attempt: number;
    model: string;
}

/** The KV cache of one attempt of a request: for each layer, how many positions it has seen and their digest. */
export class Sequence {
    readonly identity: SequenceIdentity;
    /** Positions that each layer has seen. */
    readonly counts: Int32Array;
    /** Digest of each layer's inputs. */
    readonly digests: Int32Array;
    /** Results of the passes that have run, by pass key. */
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
     * Creates a sequence that has seen nothing.
     * @param identity - Request, attempt and model.
     * @param layers - Layers of the whole model.
     * @param now - Monotonic time in milliseconds.
     */
    static create(identity: SequenceIdentity, layers: number, now: number): Sequence {
        return new Sequence(identity, layers, now);
    }

    /** Whether all layers of a range have seen exactly `position` positions. */
    isAt(position: number, layerStart: number, layerEnd: number): boolean {
        for (let layer = layerStart; layer < layerEnd; layer++) {
            if (this.counts[layer] !== position) {
                return false;
            }
        }
        return true;
    }

    /** Gets the sum over the layers of the positions seen. */
    getLayerPositions(): number {
        let sum = 0;
        for (const count of this.counts) {
            sum += count;
        }
        return sum;
    }

    /**
     * Runs inputs through a range of layers.
     * @param inputs - Activations before the first layer, one a position.
     * @returns Activations after the last layer, one a position.
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
