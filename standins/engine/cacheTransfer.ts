import { z } from "zod";
import type { CacheBlob } from "../../src/connection/endpoint/engineProtocol.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import type { HeldLayers } from "./heldLayers.ts";
import type { Sequence } from "./sequence/sequence.ts";
import type { SequenceStore } from "./sequence/sequenceStore.ts";

const dataSchema = z.object({
    model: z.string(),
    counts: z.array(z.int().min(0)),
    digests: z.array(z.int()),
});

/** Options of {@link CacheTransfer}. */
interface CacheTransferOptions {
    modelLayers: Record<string, number>;
    heldLayers: HeldLayers;
    sequences: SequenceStore;
    isLeaving(): boolean;
}

/** Reason why an export or import failed: a refusal reason of a pass, `data` or `sequence`. */
interface TransferError {
    status: 400 | 404 | 409;
    reason: string;
    message: string;
}

/** Exports and imports the KV caches of sequences. */
export class CacheTransfer {
    private readonly options: CacheTransferOptions;

    private constructor(options: CacheTransferOptions) {
        this.options = options;
    }

    /** Creates a transfer for the given sequence store. */
    static create(options: CacheTransferOptions): CacheTransfer {
        return new CacheTransfer(options);
    }

    /** Exports the layers of a sequence that have processed positions. */
    exportCache(request: string, attempt: number): Result<CacheBlob, TransferError> {
        const sequence = this.options.sequences.findSequence(request, attempt);
        const layerStart = sequence?.counts.findIndex(count => count > 0) ?? -1;
        if (!sequence || layerStart < 0) {
            return createError(404, "sequence", "The engine has no such sequence. Use a running attempt.");
        }
        const layerEnd = sequence.counts.findLastIndex(count => count > 0) + 1;
        const data = JSON.stringify({
            model: sequence.identity.model,
            counts: [...sequence.counts.slice(layerStart, layerEnd)],
            digests: [...sequence.digests.slice(layerStart, layerEnd)],
        });
        const positions = Math.max(...sequence.counts);
        return Ok({ request, attempt, layerStart, layerEnd, positions, data: Buffer.from(data).toString("base64") });
    }

    /** Imports a cache as a new sequence. */
    importCache(blob: CacheBlob): Result<undefined, TransferError> {
        const { modelLayers, heldLayers, sequences } = this.options;
        const data = parseData(blob);
        if (!data || blob.layerEnd > (modelLayers[data.model] ?? 0)) {
            return createError(
                400,
                "data",
                "The data is not an export of these layers. Send the exported data unchanged.",
            );
        }
        const identity = { request: blob.request, attempt: blob.attempt, model: data.model };
        if (!heldLayers.hasRange({ model: data.model, start: blob.layerStart, end: blob.layerEnd })) {
            return createError(
                409,
                "layers",
                "The engine does not hold these layers. Import into an engine that does.",
            );
        }
        if (this.options.isLeaving()) {
            return createError(409, "leaving", "The engine is leaving. Import into another engine.");
        }
        if (sequences.isClosed(identity) || sequences.getSequence(identity)) {
            return createError(409, "cancelled", "The attempt is closed or already runs here. Use a newer attempt.");
        }
        const layerPositions = data.counts.reduce((sum, count) => sum + count, 0);
        const added = sequences.addSequence(identity, layerPositions);
        if (added.err) {
            return createError(409, added.val, "The engine is out of memory. Import into another engine.");
        }
        restoreSequence(added.val, blob.layerStart, data);
        sequences.addUsage(layerPositions);
        return Ok(undefined);
    }
}

function createError(status: TransferError["status"], reason: string, message: string) {
    return Err({ status, reason, message });
}

function restoreSequence(sequence: Sequence, layerStart: number, data: z.infer<typeof dataSchema>): void {
    sequence.counts.set(data.counts, layerStart);
    sequence.digests.set(data.digests, layerStart);
}

function parseData(blob: CacheBlob): z.infer<typeof dataSchema> | undefined {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(blob.data, "base64").toString("utf8"));
    }
    catch {
        return undefined;
    }
    const parsed = dataSchema.safeParse(value);
    const layers = blob.layerEnd - blob.layerStart;
    if (
        layers <= 0 || !parsed.success || parsed.data.counts.length !== layers || parsed.data.digests.length !== layers
    ) {
        return undefined;
    }
    return parsed.data;
}
